package soak_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// lateSequence is the number of a heartbeat that its instance sent last.
const lateSequence = 1000

// Guards against requests to an instance that started again under its id and left, of whose second start only the
// leave arrives. Heartbeats of the first start arrive before and after it, also at the next process of the daemon.
func TestLeaveOfALaterStartEndsTheEarlierOne(t *testing.T) {
	t.Run("drains", func(t *testing.T) { playUnheardStart(t, false, false) })
	t.Run("retires, its daemon ends", func(t *testing.T) { playUnheardStart(t, true, true) })
}

func playUnheardStart(t *testing.T, skipDrain, daemonEnds bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	// Of odd seeds, instances do not state in their answers that they leave.
	siteOptions := options(newLauncher(t).launch, 1, *machines)
	site, err := day.Start(ctx, siteOptions, day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	tally := client.NewTally()
	load := &client.Load{PersistentCallers: callerGroups(1), Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: 1}
	loadCtx, endLoad := context.WithCancel(ctx)
	var loading sync.WaitGroup
	loading.Go(func() { load.Run(loadCtx) })
	time.Sleep(siteOptions.HeartbeatInterval)
	machine := site.Machines[0]
	earlier := machine.Instance()
	assert.NilError(t, machine.RestartInstanceUnheard(10*time.Millisecond))
	earlier.SendDelayedHeartbeat(ctx, lateSequence)
	later := machine.Instance()
	assert.Assert(t, later.Leave(ctx, skipDrain))
	if daemonEnds {
		assert.NilError(t, machine.Kill(0))
	}
	for late, after := range []time.Duration{1, 1, 4} {
		time.Sleep(after * siteOptions.DrainBound)
		earlier.SendDelayedHeartbeat(ctx, lateSequence+1+uint64(late))
	}
	time.Sleep(2 * siteOptions.DrainBound)
	endLoad()
	loading.Wait()
	breaches := site.Ledger.Breaches()
	t.Logf("served %d, broken promises %d", tally.Served.Load(), len(breaches))
	for _, breach := range breaches[:min(len(breaches), 10)] {
		t.Errorf("%+v", breach)
	}
}
