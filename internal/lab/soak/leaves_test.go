package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
)

// TestAcknowledgedLeaveOutlastsProcesses plays days on which an instance leaves and daemons end right after
// the acknowledgement: its own, some, all, at once or in series. Heartbeats that it sent before the leave
// arrive late, one after the other, while the store may refuse, and it must get no more requests. On some days
// instances retire without their start. They may leave at a daemon that stops or has just started.
func TestAcknowledgedLeaveOutlastsProcesses(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playLeaves(t, seed) })
	}
}

func playLeaves(t *testing.T, seed uint64) {
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), *dayLength+2*waitTimeout)
	defer cancel()
	siteOptions := options(processes.launch, seed, *machines)
	siteOptions.LeavingUnstated = true
	siteOptions.RetiresWithoutStart = seed%2 == 0
	site, err := day.Start(ctx, siteOptions, day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	tally := client.NewTally()
	load := &client.Load{PersistentCallers: callerGroups(max(1, 12 / *machines)), Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: seed}
	loadCtx, endLoad := context.WithCancel(ctx)
	var loading sync.WaitGroup
	loading.Go(func() { load.Run(loadCtx) })
	random := rand.New(rand.NewPCG(seed, 2))
	end := time.Now().Add(*dayLength)
	for leaves := 0; leaves == 0 || time.Now().Before(end); leaves++ {
		playLeave(ctx, t, site, random, siteOptions.DrainBound)
	}
	endLoad()
	loading.Wait()
	breaches := site.Ledger.Breaches()
	t.Logf("served %d, broken promises %d", tally.Served.Load(), len(breaches))
	for _, breach := range breaches[:min(len(breaches), 10)] {
		t.Errorf("%+v", breach)
	}
}

// playLeave makes a random instance leave, ends daemons, and replaces the instance.
func playLeave(ctx context.Context, t *testing.T, site *day.Site, random *rand.Rand, drainBound time.Duration) {
	order := random.Perm(len(site.Machines))
	machine := site.Machines[order[0]]
	leaving := machine.Instance()
	// Each other daemon ends with this chance, after a random part of this time.
	chance := []float64{0, 0.5, 1}[random.IntN(3)]
	spread := time.Duration(random.IntN(3)) * 300 * time.Millisecond
	skipDrain := random.IntN(2) == 0
	var ending sync.WaitGroup
	downtime := time.Duration(random.Float64() * float64(100*time.Millisecond))
	switch process := machine.Daemon(); random.IntN(4) {
	case 0:
		ending.Go(func() { assert.Check(t, machine.Kill(downtime)) })
		<-process.Done()
	case 1:
		ending.Go(func() {
			_, err := machine.RestartDaemon(downtime)
			assert.Check(t, err)
		})
		if random.IntN(2) == 0 {
			<-process.Done()
		}
	}
	acknowledged := leaving.Leave(ctx, skipDrain)
	assert.Assert(t, acknowledged)
	ending.Wait()
	end := func(machine *day.Machine, after, down time.Duration) {
		ending.Go(func() {
			time.Sleep(after)
			assert.Check(t, machine.Kill(down))
		})
	}
	end(machine, 0, time.Duration(random.Float64()*float64(300*time.Millisecond)))
	for _, index := range order[1:] {
		after, down := time.Duration(random.Float64()*float64(spread)), time.Duration(random.Float64()*float64(300*time.Millisecond))
		if random.Float64() < chance {
			end(site.Machines[index], after, down)
		}
	}
	// turnedAway and refused are the store's faults while the late heartbeats arrive: from the start of the daemons on
	// for the daemon beside the instance only, or for all once the daemons had the store for a second.
	turnedAway, refused := random.IntN(3) == 0, random.IntN(3) == 0
	if turnedAway {
		site.SetStoreFaults(objectstore.Faults{Down: true}, machine)
	}
	ending.Wait()
	if refused && !turnedAway {
		time.Sleep(time.Second)
		site.SetStoreFaults(objectstore.Faults{Down: true})
	}
	for sequence := range uint64(5) {
		leaving.SendDelayedHeartbeat(ctx, 1+sequence)
		time.Sleep(2 * drainBound / 5)
	}
	site.SetStoreFaults(objectstore.Faults{})
	_, err := machine.ReplaceInstance(ctx, 0, false)
	assert.NilError(t, err)
	assert.NilError(t, site.AwaitReady(ctx))
}
