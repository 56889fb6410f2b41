package day_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
)

// Pipelined requests, reads with an order between them, run as promised and receive their own answers
// during faults of instances and daemons.
func TestRequestsSentAheadKeepPromises(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, site *day.Site){
		"undisturbed": func(*testing.T, *day.Site) {},
		"truncated answers": func(_ *testing.T, site *day.Site) {
			site.Machines[0].Instance().Set(instance.Behaviour{TruncatedShare: 0.3})
		},
		"answers without length and with a reset": func(_ *testing.T, site *day.Site) {
			site.Machines[0].Instance().Set(instance.Behaviour{UnframedResetShare: 0.3})
		},
		"duplicate answers": func(_ *testing.T, site *day.Site) {
			site.Machines[0].Instance().Set(instance.Behaviour{DuplicateShare: 0.4})
		},
		"daemons stopped in turn": func(t *testing.T, site *day.Site) {
			for _, machine := range site.Machines[:2] {
				_, err := machine.RestartDaemon(0)
				assert.NilError(t, err)
			}
		},
		"a daemon killed": func(t *testing.T, site *day.Site) {
			assert.NilError(t, site.Machines[0].Kill(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			acquireSite(t)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			site, err := day.Start(ctx, day.DefaultOptions(), routes)
			assert.NilError(t, err)
			defer site.Close()
			tally := client.NewTally()
			load := &client.Load{Bursts: day.StandardBursts(1), Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: 1}
			loadCtx, endLoad := context.WithCancel(context.Background())
			defer endLoad()
			done := make(chan struct{})
			go func() {
				defer close(done)
				load.Run(loadCtx)
			}()
			awaitServed(t, tally, 50)
			disturb(t, site)
			awaitServed(t, tally, 150)
			endLoad()
			<-done
			assertPromisesKept(t, site)
		})
	}
}
