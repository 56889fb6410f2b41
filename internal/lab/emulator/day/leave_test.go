package day_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
)

// restartTime is how long a killed daemon is down.
const restartTime = 20 * time.Millisecond

// waysToForget are disturbances that follow the acknowledgement of a leave on the first machine.
var waysToForget = map[string]func(*testing.T, *day.Site){
	"its daemon is killed":   func(t *testing.T, site *day.Site) { killAtOnce(t, site.Machines[:1]) },
	"all daemons are killed": func(t *testing.T, site *day.Site) { killAtOnce(t, site.Machines) },
	"daemons end in series":  endInSeries,
	"all are killed twice":   killTwice,
	"its daemon stops, others are killed": func(t *testing.T, site *day.Site) {
		var stopping sync.WaitGroup
		stopping.Go(func() {
			_, err := site.Machines[0].RestartDaemon(4 * restartTime)
			assert.Check(t, err)
		})
		for site.Machines[0].Daemon() != nil {
			time.Sleep(time.Millisecond)
		}
		killAtOnce(t, site.Machines[1:])
		stopping.Wait()
	},
}

// killAtOnce kills the daemons of the machines and starts them again.
func killAtOnce(t *testing.T, machines []*day.Machine) {
	var killing sync.WaitGroup
	for _, machine := range machines {
		killing.Go(func() { assert.Check(t, machine.Kill(restartTime)) })
	}
	killing.Wait()
}

// endInSeries kills the first daemon, and the others one after the other before it starts again.
func endInSeries(t *testing.T, site *day.Site) {
	var first sync.WaitGroup
	first.Go(func() { assert.Check(t, site.Machines[0].Kill(time.Duration(2*len(site.Machines))*restartTime)) })
	for _, machine := range site.Machines[1:] {
		assert.Check(t, machine.Kill(0))
		time.Sleep(restartTime)
	}
	first.Wait()
}

func killTwice(t *testing.T, site *day.Site) {
	killAtOnce(t, site.Machines)
	time.Sleep(restartTime)
	killAtOnce(t, site.Machines)
}

// awaitConfigured waits until all daemons have a configuration.
func awaitConfigured(t *testing.T, site *day.Site) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for _, machine := range site.Machines {
		for machine.Daemon() == nil || machine.Daemon().Revision() == 0 {
			assert.Assert(t, time.Now().Before(end), "%s has no configuration", machine.Name)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// startLeaves starts a site whose instances do not state in their answers that they leave, so that only
// the acknowledgement binds.
func startLeaves(t *testing.T) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	options := day.DefaultOptions()
	options.LeavingUnstated = true
	return startOptions(t, options, routes, day.StandardClasses(1))
}

// The acknowledgement of a leave holds whichever daemons end after it, although a heartbeat that was sent
// before the leave arrives late.
func TestAcknowledgedLeaveOutlastsDaemons(t *testing.T) {
	for message, skipDrain := range map[string]bool{"as draining": false, "without a drain": true} {
		for name, disturb := range waysToForget {
			t.Run(name+", leaves "+message, func(t *testing.T) {
				site, tally, stop := startLeaves(t)
				awaitServed(t, tally, 50)
				leaving := site.Machines[0].Instance()
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				assert.Assert(t, leaving.Leave(ctx, skipDrain))
				disturb(t, site)
				leaving.SendLateHeartbeat(ctx)
				awaitConfigured(t, site)
				leaving.SendLateHeartbeat(ctx)
				time.Sleep(2 * day.DefaultOptions().DrainBound)
				awaitServed(t, tally, 200)
				stop()
				assertPromisesKept(t, site)
			})
		}
	}
}

// A leave that is announced while the store is unavailable is acknowledged only once no kill can make the
// daemons forget it.
func TestAcknowledgedLeaveOutlastsAnOutageOfTheStore(t *testing.T) {
	site, tally, stop := startLeaves(t)
	awaitServed(t, tally, 50)
	site.Store.SetFaults(objectstore.Faults{Down: true})
	leaving := site.Machines[0].Instance()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	left := make(chan bool, 1)
	go func() { left <- leaving.Leave(ctx, true) }()
	time.Sleep(500 * time.Millisecond)
	killAtOnce(t, site.Machines)
	site.Store.SetFaults(objectstore.Faults{})
	awaitConfigured(t, site)
	leaving.SendLateHeartbeat(ctx)
	assert.Assert(t, <-left)
	leaving.SendLateHeartbeat(ctx)
	time.Sleep(2 * day.DefaultOptions().DrainBound)
	awaitServed(t, tally, 200)
	stop()
	assertPromisesKept(t, site)
}

// All daemons are killed and have the store for a second after their start; then several late heartbeats arrive.
func TestAcknowledgedLeaveOutlastsAKillBeforeAnOutageOfTheStore(t *testing.T) {
	site, tally, stop := startLeaves(t)
	awaitServed(t, tally, 50)
	leaving := site.Machines[0].Instance()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.Assert(t, leaving.Leave(ctx, true))
	killAtOnce(t, site.Machines)
	awaitConfigured(t, site)
	time.Sleep(time.Second)
	site.Store.SetFaults(objectstore.Faults{Down: true})
	for sequence := range uint64(3) {
		leaving.SendDelayedHeartbeat(ctx, 1+sequence)
		time.Sleep(1500 * time.Millisecond)
	}
	site.Store.SetFaults(objectstore.Faults{})
	time.Sleep(2 * day.DefaultOptions().DrainBound)
	stop()
	assertPromisesKept(t, site)
}

// The daemon that gets the leave is cut off at the leave and for the contact time, and is killed then or not.
func TestAcknowledgedLeaveOutlastsCuts(t *testing.T) {
	for name, cut := range map[string]struct{ daemons, store bool }{
		"from the daemons": {daemons: true}, "from the store": {store: true}, "from both": {true, true},
	} {
		for end, killed := range map[string]bool{"and killed": true, "and not killed": false} {
			t.Run(name+" "+end, func(t *testing.T) {
				options := day.DefaultOptions()
				options.LeavingUnstated = true
				isolation := day.NewIsolation()
				options.Launch = day.LaunchIsolated(map[string]*day.Isolation{"machine-a-1": isolation})
				site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
				awaitServed(t, tally, 50)
				machine := site.Machines[0]
				leaving := machine.Instance()
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				if cut.daemons {
					isolation.Begin()
				}
				if cut.store {
					site.SetStoreFaults(objectstore.Faults{Silent: true}, machine)
				}
				left := make(chan bool, 1)
				go func() { left <- leaving.Leave(ctx, true) }()
				time.Sleep(site.ContactTime())
				if killed {
					assert.NilError(t, machine.Kill(restartTime))
					leaving.SendDelayedHeartbeat(ctx, 1)
				}
				if cut.daemons {
					isolation.End()
				}
				site.SetStoreFaults(objectstore.Faults{}, machine)
				assert.Assert(t, <-left)
				killAtOnce(t, site.Machines)
				for sequence := range uint64(3) {
					leaving.SendDelayedHeartbeat(ctx, 1+sequence)
					time.Sleep(700 * time.Millisecond)
				}
				awaitServed(t, tally, 200)
				stop()
				assertPromisesKept(t, site)
			})
		}
	}
}

// An instance retires, without its start, at a daemon that has just started and has had no heartbeat.
func TestLeaveWithoutStartHoldsAfterAStartOfTheDaemon(t *testing.T) {
	for name, endAgain := range map[string]bool{"": false, "that is killed again": true} {
		t.Run("at a daemon "+name, func(t *testing.T) {
			options := day.DefaultOptions()
			options.LeavingUnstated, options.RetiresWithoutStart = true, true
			site, tally, stop := startOptions(t, options, routes, day.StandardClasses(1))
			awaitServed(t, tally, 50)
			machine := site.Machines[0]
			leaving := machine.Instance()
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			killing, ended := make(chan error, 1), machine.Daemon().Done()
			go func() { killing <- machine.Kill(restartTime) }()
			<-ended
			assert.Assert(t, leaving.Leave(ctx, true))
			assert.NilError(t, <-killing)
			if endAgain {
				killAtOnce(t, site.Machines)
			}
			for sequence := range uint64(3) {
				leaving.SendDelayedHeartbeat(ctx, 1+sequence)
				time.Sleep(day.DefaultOptions().DrainBound)
			}
			awaitServed(t, tally, 200)
			stop()
			assertPromisesKept(t, site)
		})
	}
}
