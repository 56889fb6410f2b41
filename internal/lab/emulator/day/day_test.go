package day_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
)

// waitTimeout limits the wait for an expected event. No test checks how long the event took.
const waitTimeout = 2 * time.Minute

// siteSlots limits the number of concurrent sites. The timeouts of daemons, instances and clients would
// expire on an overloaded processor. A test holds a slot while its site is open.
var siteSlots = make(chan struct{}, 2)

// acquireSite waits for a slot of siteSlots, which is released at the end of the test.
func acquireSite(t *testing.T) {
	t.Helper()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
}

var routes = day.StandardRoutes()

func TestMain(m *testing.M) {
	daemon.QuietHTTPLibrary()
	m.Run()
}

// start starts a site with the default options and its load.
func start(t *testing.T) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	return startWith(t, routes, day.StandardClasses(1))
}

func startWith(t *testing.T, routes []day.Route, classes []client.Class) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	return startOptions(t, day.DefaultOptions(), routes, classes)
}

func startOptions(t *testing.T, options day.Options, routes []day.Route, classes []client.Class) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	t.Parallel()
	acquireSite(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	site, err := day.Start(ctx, options, routes)
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	tally = client.NewTally()
	load := &client.Load{Classes: classes, Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: options.Seed}
	loadCtx, endLoad := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); load.Run(loadCtx) }()
	stopLoad = func() { endLoad(); <-done }
	t.Cleanup(stopLoad)
	return site, tally, stopLoad
}

func assertPromisesKept(t *testing.T, site *day.Site) {
	t.Helper()
	breaches := site.Ledger.Breaches()
	assert.Equal(t, len(breaches), 0, "%+v", breaches)
}

// awaitServed waits until the given number of further requests were served.
func awaitServed(t *testing.T, tally *client.Tally, count int64) {
	t.Helper()
	goal := tally.Served.Load() + count
	end := time.Now().Add(waitTimeout)
	for tally.Served.Load() < goal {
		assert.Assert(t, time.Now().Before(end), "%d of %d served", tally.Served.Load(), goal)
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitEnded waits until the given number of further requests ended with any outcome.
func awaitEnded(t *testing.T, tally *client.Tally, count int64) {
	t.Helper()
	ended := func() int64 { return tally.Served.Load() + tally.Refused.Load() + tally.Failed.Load() }
	goal := ended() + count
	end := time.Now().Add(waitTimeout)
	for ended() < goal {
		assert.Assert(t, time.Now().Before(end), "%d of %d ended", ended(), goal)
		time.Sleep(10 * time.Millisecond)
	}
}

// Without faults no request fails. The deadlines are long, so that a slow machine causes no failure.
func TestQuietDayIsServed(t *testing.T) {
	const longDeadline = time.Minute
	slowRoutes := day.StandardRoutes()
	for index := range slowRoutes {
		slowRoutes[index].TimeoutMillis = uint32(longDeadline.Milliseconds())
		slowRoutes[index].TargetMillis = uint32(longDeadline.Milliseconds())
	}
	classes := day.StandardClasses(1)
	for index := range classes {
		classes[index].Deadline = longDeadline
	}
	site, tally, stop := startWith(t, slowRoutes, classes)
	awaitServed(t, tally, 300)
	stop()
	assertPromisesKept(t, site)
	assert.Equal(t, tally.Failed.Load(), int64(0))
}

// Faults of instances break no promise, and the site continues to serve requests.
func TestInstancesThatMisbehave(t *testing.T) {
	for name, behaviour := range map[string]instance.Behaviour{
		"answers lost":           {LostAnswerShare: 0.3},
		"truncated answers":      {TruncatedShare: 0.3},
		"duplicate answers":      {DuplicateShare: 0.4},
		"late duplicate answers": {DuplicateShare: 0.4, DuplicateDelay: 15 * time.Millisecond},
		"answers without length": {UnframedShare: 0.4},
		"answers not in HTTP":    {GarbageShare: 0.3},
		"refused early":          {EarlyRefusalShare: 0.5},
		"slow":                   {Slowdown: 8},
		"failures":               {FailureShare: 0.5},
		"idle connections lost":  {IdleTimeout: 20 * time.Millisecond},
		"all at once":            {LostAnswerShare: 0.1, TruncatedShare: 0.1, DuplicateShare: 0.2, UnframedShare: 0.1, GarbageShare: 0.1, EarlyRefusalShare: 0.2, Slowdown: 3},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			for index, machine := range site.Machines {
				if index%2 == 0 {
					machine.Instance().Set(behaviour)
				}
			}
			awaitServed(t, tally, 200)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// Instances that crash, leave or stop responding break no promise, and the site continues to serve.
func TestInstancesThatComeAndGo(t *testing.T) {
	for name, disturb := range map[string]func(*testing.T, *day.Machine){
		"crash and restart at the same address": func(t *testing.T, machine *day.Machine) {
			assert.NilError(t, machine.CrashInstance(100*time.Millisecond))
		},
		"drain and be replaced": func(t *testing.T, machine *day.Machine) {
			acknowledged, err := machine.ReplaceInstance(context.Background(), 1500*time.Millisecond, false)
			assert.NilError(t, err)
			assert.Assert(t, acknowledged)
		},
		"deregister first": func(t *testing.T, machine *day.Machine) {
			acknowledged, err := machine.ReplaceInstance(context.Background(), 1500*time.Millisecond, true)
			assert.NilError(t, err)
			assert.Assert(t, acknowledged)
		},
		"stop responding": func(t *testing.T, machine *day.Machine) {
			machine.Instance().Set(instance.Behaviour{Silent: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			for _, machine := range site.Machines[:2] {
				disturb(t, machine)
			}
			awaitServed(t, tally, 200)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// An instance that left or crashed and restarts with the same id receives requests again. A late
// heartbeat of the earlier incarnation does not change that.
func TestInstancesReturnUnderTheirIDs(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *day.Machine){
		"left": func(t *testing.T, machine *day.Machine) {
			_, err := machine.RestartInstance(context.Background(), time.Second, false)
			assert.NilError(t, err)
		},
		"left abruptly": func(t *testing.T, machine *day.Machine) {
			_, err := machine.RestartInstance(context.Background(), time.Second, true)
			assert.NilError(t, err)
		},
		"crashed": func(t *testing.T, machine *day.Machine) {
			assert.NilError(t, machine.CrashInstance(0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 200)
			for _, machine := range site.Machines[:2] {
				earlier := machine.Instance()
				end(t, machine)
				assert.Equal(t, machine.Instance().ID(), earlier.ID())
				earlier.SendLateHeartbeat(context.Background())
			}
			await(t, "the restarted instances receive requests", func() bool {
				return site.Machines[0].Instance().Received() > 0 && site.Machines[1].Instance().Received() > 0
			})
			awaitServed(t, tally, 400)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// Every instance is used again after planned stops of all daemons in turn. The state that a stopping
// daemon reports for its instance must not count as a drain of the instance, which is permanent.
func TestInstancesAreUsedAgainAfterPlannedStops(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	half := len(site.Machines) / 2
	for index := range half {
		var stops sync.WaitGroup
		for _, machine := range []*day.Machine{site.Machines[index], site.Machines[index+half]} {
			stops.Go(func() {
				cut, err := machine.RestartDaemon(50 * time.Millisecond)
				assert.Check(t, err)
				assert.Check(t, cut == 0, "%d calls were cut", cut)
			})
		}
		stops.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	awaitServed(t, tally, 100)
	stop()
	assertPromisesKept(t, site)
}

// An instance that left receives no more requests, even if its daemon restarts without state and a late
// heartbeat reports the instance as ready.
func TestInstanceThatLeftStaysAwayAfterItsDaemonStartsAgain(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	machine := site.Machines[0]
	leaving := machine.Instance()
	left := make(chan bool, 1)
	go func() {
		acknowledged := leaving.Shutdown(context.Background(), 3*time.Second, false)
		left <- acknowledged
	}()
	for running := machine.Daemon(); running.ReadyEndpoints("desk") == 3; {
		time.Sleep(5 * time.Millisecond)
	}
	// The other daemons must know of the drain before the daemon is killed.
	for _, other := range site.Machines[1:] {
		for other.Daemon().ReadyEndpoints("desk") == 3 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	assert.NilError(t, machine.Kill(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for machine.Daemon().Revision() == 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	leaving.SendLateHeartbeat(ctx)
	awaitServed(t, tally, 200)
	assert.Assert(t, <-left)
	stop()
	assertPromisesKept(t, site)
}

// A new daemon becomes ready during each fault of the store, and a configuration that was declared during
// the fault is in force afterwards.
func TestStoreFaults(t *testing.T) {
	for name, faults := range map[string]objectstore.Faults{
		"down":          {Down: true},
		"silent":        {Silent: true},
		"resets":        {Reset: true},
		"slow":          {Delay: 300 * time.Millisecond},
		"drops answers": {DroppedAnswerShare: 0.5},
		"delays writes": {DroppedAnswerShare: 0.5, DelayWrites: true},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			site.Store.SetFaults(faults)
			version, err := site.Declare(routes)
			assert.NilError(t, err)
			// A daemon that starts during the fault has no state. Its neighbours send it the
			// configuration and the instances.
			assert.NilError(t, site.Machines[0].Kill(50*time.Millisecond))
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			assert.NilError(t, site.AwaitReady(ctx))
			awaitServed(t, tally, 100)
			site.Store.SetFaults(objectstore.Faults{})
			assert.NilError(t, site.AwaitInForce(ctx, version))
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// If the store rejects some machines while it serves the others and the operator, a new version still
// comes into force on all of them, and a rejected machine that restarts serves requests.
func TestStoreTurnsSomeMachinesAway(t *testing.T) {
	for name, faults := range map[string]objectstore.Faults{
		"refused": {Down: true},
		"ignored": {Silent: true},
		"reset":   {Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			site.SetStoreFaults(faults, site.Machines[:3]...)
			version, err := site.Declare(routes)
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			assert.NilError(t, site.AwaitInForce(ctx, version))
			assert.NilError(t, site.Machines[0].Kill(50*time.Millisecond))
			assert.NilError(t, site.AwaitReady(ctx))
			awaitServed(t, tally, 100)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// A configuration comes into force although watches did not report it and the store compacted the
// history.
func TestConfigurationAcrossCompactedHistory(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	site.Store.SetFaults(objectstore.Faults{FreezeWatches: true})
	version, err := site.Declare(routes)
	assert.NilError(t, err)
	site.Store.SetFaults(objectstore.Faults{})
	site.Store.CompactHistory()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	stop()
	assertPromisesKept(t, site)
}

// If all daemons are killed at the same time, they restart with the configuration in the store.
func TestAllDaemonsAreKilledAtOnce(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	version, err := site.Declare(routes)
	assert.NilError(t, err)
	killed := make(chan error, len(site.Machines))
	for _, machine := range site.Machines {
		go func() { killed <- machine.Kill(200 * time.Millisecond) }()
	}
	for range site.Machines {
		assert.NilError(t, <-killed)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	assert.NilError(t, site.AwaitInForce(ctx, version))
	awaitServed(t, tally, 100)
	stop()
	assertPromisesKept(t, site)
}

// The last of 50 configurations written at intervals of 5 ms comes into force on all daemons.
func TestStormOfConfigurations(t *testing.T) {
	site, tally, stop := start(t)
	var version uint64
	for range 50 {
		declared, err := site.Declare(routes)
		assert.NilError(t, err)
		version = declared
		time.Sleep(5 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	awaitServed(t, tally, 50)
	stop()
	assertPromisesKept(t, site)
}

// A daemon in a planned stop is not ready from the beginning, and continues to serve callers that still
// arrive.
func TestStoppingDaemonIsNotReadyAndServesOn(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	machine := site.Machines[0]
	ended := make(chan int64, 1)
	go func() {
		cut, err := machine.RestartDaemon(0)
		assert.Check(t, err)
		ended <- cut
	}()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for machine.Ready(ctx) {
		assert.NilError(t, ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-ended:
		t.Fatal("the daemon ended before its readiness check failed")
	default:
	}
	assert.Equal(t, <-ended, int64(0))
	stop()
	assertPromisesKept(t, site)
}
