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

// patience bounds waits for what must come; no test asserts how long it took.
const patience = 2 * time.Minute

// playing bounds the sites that play at once: each has daemons, instances and clients
// with time-outs of their own, which a full processor makes true. Tests of a site
// hold a place while it is open.
var playing = make(chan struct{}, 2)

// place waits for a place to play, which the test gives back at its end.
func place(t *testing.T) {
	t.Helper()
	playing <- struct{}{}
	t.Cleanup(func() { <-playing })
}

var routes = day.StandardRoutes()

func TestMain(m *testing.M) {
	daemon.QuietHTTPLibrary()
	m.Run()
}

// start starts the default site and its load.
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
	place(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

func keepsPromises(t *testing.T, site *day.Site) {
	t.Helper()
	breaches := site.Ledger.Breaches()
	assert.Equal(t, len(breaches), 0, "%+v", breaches)
}

// awaitServed waits until so many more requests were served.
func awaitServed(t *testing.T, tally *client.Tally, more int64) {
	t.Helper()
	goal := tally.Served.Load() + more
	end := time.Now().Add(patience)
	for tally.Served.Load() < goal {
		assert.Assert(t, time.Now().Before(end), "%d of %d served", tally.Served.Load(), goal)
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitEnded waits until so many more requests got some end.
func awaitEnded(t *testing.T, tally *client.Tally, more int64) {
	t.Helper()
	ended := func() int64 { return tally.Served.Load() + tally.Refused.Load() + tally.Failed.Load() }
	goal := ended() + more
	end := time.Now().Add(patience)
	for ended() < goal {
		assert.Assert(t, time.Now().Before(end), "%d of %d ended", ended(), goal)
		time.Sleep(10 * time.Millisecond)
	}
}

// Clients are patient here, so that a slow machine makes no request fail.
func TestQuietDayIsServed(t *testing.T) {
	const patient = time.Minute
	slowRoutes := day.StandardRoutes()
	for index := range slowRoutes {
		slowRoutes[index].TimeoutMillis = uint32(patient.Milliseconds())
		slowRoutes[index].TargetMillis = uint32(patient.Milliseconds())
	}
	classes := day.StandardClasses(1)
	for index := range classes {
		classes[index].Deadline = patient
	}
	site, tally, stop := startWith(t, slowRoutes, classes)
	awaitServed(t, tally, 300)
	stop()
	keepsPromises(t, site)
	assert.Equal(t, tally.Failed.Load(), int64(0))
}

// Faults of instances never break a promise, and the site serves on.
func TestInstancesThatMisbehave(t *testing.T) {
	for name, behaviour := range map[string]instance.Behaviour{
		"answers lost":           {LostAnswerShare: 0.3},
		"answers cut off":        {TruncatedShare: 0.3},
		"a second answer":        {DuplicateShare: 0.4},
		"a second answer, late":  {DuplicateShare: 0.4, DuplicateDelay: 15 * time.Millisecond},
		"answers without length": {UnframedShare: 0.4},
		"no HTTP":                {GarbageShare: 0.3},
		"refused early":          {EarlyRefusalShare: 0.5},
		"slow":                   {Slowdown: 8},
		"failures":               {FailureShare: 0.5},
		"connections forgotten":  {IdleTimeout: 20 * time.Millisecond},
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
			keepsPromises(t, site)
		})
	}
}

func TestInstancesThatComeAndGo(t *testing.T) {
	for name, disturb := range map[string]func(*testing.T, *day.Machine){
		"crash and start again at the address": func(t *testing.T, machine *day.Machine) {
			assert.NilError(t, machine.Restart(100*time.Millisecond))
		},
		"drain and be replaced": func(t *testing.T, machine *day.Machine) {
			acknowledged, err := machine.Release(context.Background(), 1500*time.Millisecond, false)
			assert.NilError(t, err)
			assert.Assert(t, acknowledged)
		},
		"say farewell first": func(t *testing.T, machine *day.Machine) {
			acknowledged, err := machine.Release(context.Background(), 1500*time.Millisecond, true)
			assert.NilError(t, err)
			assert.Assert(t, acknowledged)
		},
		"fall silent": func(t *testing.T, machine *day.Machine) {
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
			keepsPromises(t, site)
		})
	}
}

// An instance that left, or crashed, and starts again under its id gets calls again, and nothing that
// its earlier start said late changes that.
func TestInstancesReturnUnderTheirIDs(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *day.Machine){
		"left": func(t *testing.T, machine *day.Machine) {
			_, err := machine.Return(context.Background(), time.Second, false)
			assert.NilError(t, err)
		},
		"left abruptly": func(t *testing.T, machine *day.Machine) {
			_, err := machine.Return(context.Background(), time.Second, true)
			assert.NilError(t, err)
		},
		"crashed": func(t *testing.T, machine *day.Machine) {
			assert.NilError(t, machine.Restart(0))
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
			await(t, "the later starts get calls", func() bool {
				return site.Machines[0].Instance().Received() > 0 && site.Machines[1].Instance().Received() > 0
			})
			awaitServed(t, tally, 400)
			stop()
			keepsPromises(t, site)
		})
	}
}

// After planned stops of all daemons in turn every instance is used again: what a stopping daemon
// reports of its instance must not count as the instance's own drain, which is for good.
func TestInstancesAreUsedAgainAfterPlannedStops(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	half := len(site.Machines) / 2
	for index := range half {
		var stops sync.WaitGroup
		for _, machine := range []*day.Machine{site.Machines[index], site.Machines[index+half]} {
			stops.Go(func() {
				cut, err := machine.Roll(50 * time.Millisecond)
				assert.Check(t, err)
				assert.Check(t, cut == 0, "%d calls were cut", cut)
			})
		}
		stops.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	awaitServed(t, tally, 100)
	stop()
	keepsPromises(t, site)
}

// An instance that left stays away although its daemon lost its memory and a
// late heartbeat says that it is ready.
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
	// The others know it before the daemon is killed.
	for _, other := range site.Machines[1:] {
		for other.Daemon().ReadyEndpoints("desk") == 3 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	assert.NilError(t, machine.Kill(10*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for machine.Daemon().Revision() == 0 {
		assert.NilError(t, ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	leaving.SendLateHeartbeat(ctx)
	awaitServed(t, tally, 200)
	assert.Assert(t, <-left)
	stop()
	keepsPromises(t, site)
}

func TestStoreFaults(t *testing.T) {
	for name, faults := range map[string]objectstore.Faults{
		"down":           {Down: true},
		"silent":         {Silent: true},
		"resets":         {Reset: true},
		"slow":           {Delay: 300 * time.Millisecond},
		"loses answers":  {LoseWrites: 0.5},
		"does them late": {LoseWrites: 0.5, Late: true},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			site.Store.SetFaults(faults)
			version, err := site.Declare(routes)
			assert.NilError(t, err)
			// A daemon that starts meanwhile knows nobody; its neighbours bring
			// it the configuration and the instances.
			assert.NilError(t, site.Machines[0].Kill(50*time.Millisecond))
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			assert.NilError(t, site.AwaitReady(ctx))
			awaitServed(t, tally, 100)
			site.Store.SetFaults(objectstore.Faults{})
			assert.NilError(t, site.AwaitInForce(ctx, version))
			stop()
			keepsPromises(t, site)
		})
	}
}

// The store turns some machines away while it serves the others and the operator: a new version
// comes in force on all of them all the same, and one of those that starts meanwhile serves too.
func TestStoreTurnsSomeMachinesAway(t *testing.T) {
	for name, faults := range map[string]objectstore.Faults{
		"refused": {Down: true},
		"ignored": {Silent: true},
		"reset":   {Reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			site.FailStoreFor(faults, site.Machines[:3]...)
			version, err := site.Declare(routes)
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			assert.NilError(t, site.AwaitInForce(ctx, version))
			assert.NilError(t, site.Machines[0].Kill(50*time.Millisecond))
			assert.NilError(t, site.AwaitReady(ctx))
			awaitServed(t, tally, 100)
			stop()
			keepsPromises(t, site)
		})
	}
}

// The store hears nothing of a change and forgets its history.
func TestForgottenHistory(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	site.Store.SetFaults(objectstore.Faults{FreezeWatches: true})
	version, err := site.Declare(routes)
	assert.NilError(t, err)
	site.Store.SetFaults(objectstore.Faults{})
	site.Store.CompactHistory()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	stop()
	keepsPromises(t, site)
}

// Everything is killed at once, and comes back to what the store holds.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	assert.NilError(t, site.AwaitInForce(ctx, version))
	awaitServed(t, tally, 100)
	stop()
	keepsPromises(t, site)
}

func TestStormOfConfigurations(t *testing.T) {
	site, tally, stop := start(t)
	var version uint64
	for range 50 {
		declared, err := site.Declare(routes)
		assert.NilError(t, err)
		version = declared
		time.Sleep(5 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitInForce(ctx, version))
	awaitServed(t, tally, 50)
	stop()
	keepsPromises(t, site)
}

// A daemon that stops as planned says at once that it is not ready, and serves
// on while callers still come.
func TestStoppingDaemonIsNotReadyAndServesOn(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	machine := site.Machines[0]
	ended := make(chan int64, 1)
	go func() {
		cut, err := machine.Roll(0)
		assert.Check(t, err)
		ended <- cut
	}()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for machine.Ready(ctx) {
		assert.NilError(t, ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case <-ended:
		t.Fatal("the daemon ended before it was seen not to be ready")
	default:
	}
	assert.Equal(t, <-ended, int64(0))
	stop()
	keepsPromises(t, site)
}
