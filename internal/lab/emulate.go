package lab

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// emulateCommand plays days on the emulated platform.
type emulateCommand struct {
	Seed   uint64        `long:"seed" description:"decides load and faults; 0 for a fresh one"`
	Days   int           `long:"days" description:"days to play, each with the next seed" default:"1"`
	Length time.Duration `long:"length" description:"length of a day" default:"10s"`
	Faults int           `long:"faults" description:"disturbances of a day" default:"5"`
	For    time.Duration `long:"for" description:"play days with fresh seeds for so long, instead of --days"`
	Kinds  []string      `long:"kind" description:"kind of disturbance to draw; may be given several times, all by default"`
}

// Execute implements flags.Commander. It fails when a promise was broken.
func (c *emulateCommand) Execute([]string) error {
	daemon.QuietHTTPLibrary()
	kinds, err := c.kinds()
	if err != nil {
		return err
	}
	seed := c.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	broken := 0
	started := time.Now()
	for index := 0; c.playsAnother(index, time.Since(started)); index++ {
		count, err := playDay(day.StandardPlan(seed+uint64(index), c.Length, c.Faults, kinds))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed+uint64(index), err)
		}
		if count > 0 {
			results.Info("emulate.again", "seed", seed+uint64(index), "length", c.Length, "faults", c.Faults)
		}
		broken += count
	}
	if broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	return nil
}

// playsAnother reports whether one more day is played after the days played so far.
func (c *emulateCommand) playsAnother(played int, took time.Duration) bool {
	if c.For > 0 {
		return took < c.For
	}
	return played < max(c.Days, 1)
}

func (c *emulateCommand) kinds() ([]day.FaultKind, error) {
	if len(c.Kinds) == 0 {
		return day.FaultKinds, nil
	}
	kinds := make([]day.FaultKind, 0, len(c.Kinds))
	for _, name := range c.Kinds {
		if !slices.Contains(day.FaultKinds, day.FaultKind(name)) {
			return nil, fmt.Errorf("kind %q is not known; there are %v", name, day.FaultKinds)
		}
		kinds = append(kinds, day.FaultKind(name))
	}
	return kinds, nil
}

// playDay plays one day and prints its outcome in one line. It returns the
// number of broken promises.
func playDay(plan day.Plan) (broken int, err error) {
	const patience = time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), plan.Length+patience)
	defer cancel()
	summary, err := day.Play(ctx, plan)
	if err != nil {
		return 0, err
	}
	for _, fault := range plan.Faults {
		results.Info("emulate.fault", "kind", string(fault.Kind), "at", fault.At.Round(time.Millisecond), "for", fault.For.Round(time.Millisecond))
	}
	for _, breach := range summary.Breaches {
		results.Info("emulate.broken", "promise", string(breach.Kind), "request", breach.Request, "detail", breach.Detail)
	}
	results.Info("emulate.finished", "seed", plan.Options.Seed, "served", summary.Served, "refused", summary.Refused,
		"failed", summary.Failed, "p50_ms", millis(summary.LatencyP50.Microseconds()), "p99_ms", millis(summary.LatencyP99.Microseconds()),
		"changes", summary.Changes, "convergence_ms", millis(summary.Convergence.Microseconds()), "repeats", summary.Repeats,
		"cut_at_stops", summary.CutAtStops, "fell_over", summary.ColdCrashes, "broken", len(summary.Breaches))
	return len(summary.Breaches), nil
}
