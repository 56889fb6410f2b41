package day_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// leader returns the machine whose daemon reads the store on behalf of all daemons, nil if there is
// none. By the log lines it is the last daemon that became the leader and has not lost the leadership.
func leader(t *testing.T, site *day.Site, output *lockedBuffer) *day.Machine {
	t.Helper()
	var leading []string
	for _, line := range output.lines(t) {
		switch line.Event {
		case "source.lead_taken":
			leading = append(without(leading, line.Get("node")), line.Get("node"))
		case "source.lead_left", "source.lost", "daemon.started":
			leading = without(leading, line.Get("node"))
		}
	}
	for _, machine := range site.Machines {
		if len(leading) > 0 && machine.Name == leading[len(leading)-1] {
			return machine
		}
	}
	return nil
}

func without(nodes []string, left string) []string {
	var kept []string
	for _, node := range nodes {
		if node != left {
			kept = append(kept, node)
		}
	}
	return kept
}

// awaitLeader waits until a machine other than before is the leader.
func awaitLeader(ctx context.Context, t *testing.T, site *day.Site, output *lockedBuffer, before *day.Machine) *day.Machine {
	t.Helper()
	for {
		if leading := leader(t, site, output); leading != nil && leading != before {
			return leading
		}
		assert.NilError(t, ctx.Err())
		time.Sleep(20 * time.Millisecond)
	}
}

// After each failure of the daemon that reads the store on behalf of all, another daemon takes over, and
// each version comes into force on all daemons.
func TestVersionsComeInForceWithoutTheDaemonThatAsks(t *testing.T) {
	rejectedWith := func(faults objectstore.Faults) func(*testing.T, *day.Site, *day.Machine) {
		return func(_ *testing.T, site *day.Site, machine *day.Machine) { site.SetStoreFaults(faults, machine) }
	}
	for name, disturb := range map[string]func(*testing.T, *day.Site, *day.Machine){
		"refused": rejectedWith(objectstore.Faults{Down: true}),
		"ignored": rejectedWith(objectstore.Faults{Silent: true}),
		"killed": func(t *testing.T, _ *day.Site, machine *day.Machine) {
			assert.NilError(t, machine.Kill(50*time.Millisecond))
		},
		"stopped as planned": func(t *testing.T, _ *day.Site, machine *day.Machine) {
			_, err := machine.RestartDaemon(50 * time.Millisecond)
			assert.NilError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			output := &lockedBuffer{}
			options := day.DefaultOptions()
			options.Logger = logging.New(output, 0)
			site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
			awaitServed(t, tally, 50)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			var before *day.Machine
			for range 3 {
				before = awaitLeader(ctx, t, site, output, before)
				disturb(t, site, before)
				version, err := site.Declare(routes)
				assert.NilError(t, err)
				assert.NilError(t, site.AwaitInForce(ctx, version))
			}
			awaitServed(t, tally, 50)
			stop()
			assertPromisesKept(t, site)
		})
	}
}
