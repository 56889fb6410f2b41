package lab

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// emulateCommand plays days on the emulated platform: runs with random load and faults that check the
// promises to callers.
type emulateCommand struct {
	Seed      uint64        `long:"seed" description:"seed of load and faults; 0 for a new one"`
	Days      int           `long:"days" description:"number of days, each with the next seed" default:"1"`
	Length    time.Duration `long:"length" description:"length of a day" default:"10s"`
	Faults    int           `long:"faults" description:"faults per day" default:"5"`
	TotalTime time.Duration `long:"for" description:"start further days until this time has passed; --days is ignored"`
	Kinds     []string      `long:"kind" description:"kind of fault to inject; may be given several times, all by default"`
}

// Execute implements flags.Commander. It returns an error if a promise was broken.
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
	breaches := 0
	started := time.Now()
	for index := 0; c.hasNextDay(index, time.Since(started)); index++ {
		count, err := playDay(day.StandardPlan(seed+uint64(index), c.Length, c.Faults, kinds))
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed+uint64(index), err)
		}
		if count > 0 {
			results.Info("emulate.again", "seed", seed+uint64(index), "length", c.Length, "faults", c.Faults)
		}
		breaches += count
	}
	if breaches > 0 {
		return fmt.Errorf("%d promises were broken", breaches)
	}
	return nil
}

// hasNextDay reports whether another day is to be played, given the number of days played and the time
// elapsed.
func (c *emulateCommand) hasNextDay(played int, elapsed time.Duration) bool {
	if c.TotalTime > 0 {
		return elapsed < c.TotalTime
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
			return nil, fmt.Errorf("unknown kind of fault %q; valid kinds are %v", name, day.FaultKinds)
		}
		kinds = append(kinds, day.FaultKind(name))
	}
	return kinds, nil
}

// playDay plays one day and prints its faults, broken promises and totals. It
// returns the number of broken promises.
func playDay(plan day.Plan) (breaches int, err error) {
	const timeoutMargin = time.Minute
	ctx, cancel := context.WithTimeout(context.Background(), plan.Length+timeoutMargin)
	defer cancel()
	summary, err := day.Run(ctx, plan)
	if err != nil {
		return 0, err
	}
	for _, fault := range plan.Faults {
		results.Info("emulate.fault", "kind", string(fault.Kind), "at", fault.At.Round(time.Millisecond), "for", fault.Duration.Round(time.Millisecond))
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
