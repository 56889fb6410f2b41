package day

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// FaultKind names a disturbance.
type FaultKind string

// The disturbances of a day.
const (
	FaultDaemonKill      FaultKind = "daemon-kill"
	FaultDaemonStop      FaultKind = "daemon-stop"
	FaultHerdKill        FaultKind = "herd-kill"
	FaultInstanceCrash   FaultKind = "instance-crash"
	FaultInstanceRelease FaultKind = "instance-release"
	FaultInstanceSlow    FaultKind = "instance-slow"
	FaultAnswersLost     FaultKind = "answers-lost"
	FaultAnswersSpoiled  FaultKind = "answers-spoiled"
	FaultAnswersFail     FaultKind = "answers-fail"
	FaultIdleForgotten   FaultKind = "idle-forgotten"
	FaultStoreDown       FaultKind = "store-down"
	FaultStoreSilent     FaultKind = "store-silent"
	FaultStoreSlow       FaultKind = "store-slow"
	FaultStoreForgets    FaultKind = "store-forgets"
	FaultStoreRefuses    FaultKind = "store-refuses-some"
	FaultStoreIgnores    FaultKind = "store-ignores-some"
	FaultWritesLost      FaultKind = "writes-lost"
	FaultConfigStorm     FaultKind = "config-storm"
	FaultZoneEvacuated   FaultKind = "zone-evacuated"
	FaultZoneEmptiedCold FaultKind = "zone-evacuated-back-cold"
	FaultZoneCold        FaultKind = "zone-restarted-cold"
	FaultInstanceHangs   FaultKind = "instance-hangs-when-full"
	// FaultPoisonRequest is a request under which each instance that runs it crashes, sent again
	// and again.
	FaultPoisonRequest FaultKind = "deadly-request"
)

// FaultKinds lists all disturbances.
var FaultKinds = []FaultKind{
	FaultDaemonKill, FaultDaemonStop, FaultHerdKill, FaultInstanceCrash, FaultInstanceRelease, FaultInstanceSlow,
	FaultAnswersLost, FaultAnswersSpoiled, FaultAnswersFail, FaultIdleForgotten, FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreForgets, FaultStoreRefuses, FaultStoreIgnores,
	FaultWritesLost, FaultConfigStorm, FaultZoneEvacuated, FaultZoneEmptiedCold, FaultZoneCold, FaultInstanceHangs,
	FaultPoisonRequest,
}

// Fault is one disturbance of a day.
type Fault struct {
	Kind FaultKind
	// At is the time from the start of the day, For how long it lasts.
	At, For time.Duration
}

// Plan is a day.
type Plan struct {
	Options Options
	Routes  []Route
	Classes []client.Class
	Bursts  []client.Burst
	Length  time.Duration
	// ChangeEvery is the time between two configurations; 0 for none.
	ChangeEvery time.Duration
	Faults      []Fault
	// ApplyBound is the time in which a configuration must be in force on every
	// daemon that runs undisturbed.
	ApplyBound time.Duration
}

// Summary is the outcome of a day.
type Summary struct {
	Served, Refused, Failed int64
	LatencyP50, LatencyP99  time.Duration
	// Convergence is the longest time until a configuration was in force on
	// every daemon, over the changes after which that was waited for.
	Convergence time.Duration
	Changes     int
	Repeats     int
	CutAtStops  int64
	// ColdCrashes is the number of instances that crashed in slow start.
	ColdCrashes int
	Breaches    []promise.Breach
}

// Draw returns so many faults at random times, which the seed decides.
func Draw(seed uint64, kinds []FaultKind, count int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, Fault{
			Kind: kinds[random.IntN(len(kinds))],
			At:   time.Duration(random.Float64() * 0.8 * float64(length)),
			For:  time.Duration((0.05 + 0.15*random.Float64()) * float64(length)),
		})
	}
	return faults
}

// Play plays a day.
func Play(ctx context.Context, plan Plan) (Summary, error) {
	site, err := Start(ctx, plan.Options, plan.Routes)
	if site != nil {
		defer site.Close()
	}
	if err != nil {
		return Summary{}, err
	}
	play := &play{site: site, plan: plan, tally: client.NewTally(), zoneFaults: map[string]*sync.Mutex{}}
	for _, zone := range site.Zones() {
		play.zoneFaults[zone] = &sync.Mutex{}
	}
	dayCtx, end := context.WithTimeout(ctx, plan.Length)
	defer end()
	load := &client.Load{Classes: plan.Classes, Bursts: plan.Bursts, Targets: site.Targets(), Ledger: site.Ledger, Tally: play.tally, Seed: plan.Options.Seed}
	var running sync.WaitGroup
	running.Go(func() { load.Run(dayCtx) })
	running.Go(func() { play.change(dayCtx) })
	for index, fault := range plan.Faults {
		random := rand.New(rand.NewPCG(plan.Options.Seed, uint64(index)))
		running.Go(func() {
			if sleep.For(dayCtx, fault.At) {
				play.inject(dayCtx, fault, random)
			}
		})
	}
	running.Wait()
	return play.finish(ctx)
}

// play is a day that is being played.
type play struct {
	site  *Site
	plan  Plan
	tally *client.Tally

	// poisonSent counts the poison requests.
	poisonSent atomic.Int64
	// storeFault is held by the one fault of the store that is in force.
	storeFault sync.Mutex
	// zoneFaults are held by the one fault of a zone that is in force.
	zoneFaults map[string]*sync.Mutex
	// mutex protects everything below.
	mutex       sync.Mutex
	convergence time.Duration
	changes     int
	cut         int64
	err         error
}

func (p *play) change(ctx context.Context) {
	for p.plan.ChangeEvery > 0 && sleep.For(ctx, p.plan.ChangeEvery) {
		started := time.Now()
		version, err := p.site.Declare(p.plan.Routes)
		p.note(err)
		waitCtx, cancel := context.WithTimeout(ctx, p.plan.ApplyBound)
		if p.site.AwaitInForce(waitCtx, version) == nil {
			p.mutex.Lock()
			p.convergence = max(p.convergence, time.Since(started))
			p.mutex.Unlock()
		}
		cancel()
		p.mutex.Lock()
		p.changes++
		p.mutex.Unlock()
	}
}

func (p *play) note(err error) {
	if err == nil {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.err == nil {
		p.err = err
	}
}

func (p *play) inject(ctx context.Context, fault Fault, random *rand.Rand) {
	machine := p.site.Machines[random.IntN(len(p.site.Machines))]
	switch fault.Kind {
	case FaultDaemonKill:
		p.note(machine.Kill(fault.For / 4))
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultDaemonStop:
		cut, err := machine.Roll(fault.For / 4)
		p.mutex.Lock()
		p.cut += cut
		p.mutex.Unlock()
		p.note(err)
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultHerdKill:
		p.killHalf(fault.For / 4)
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultInstanceCrash:
		p.note(machine.Restart(fault.For / 4))
	case FaultInstanceRelease:
		_, err := machine.Release(ctx, p.plan.Options.DrainBound*3/2, random.IntN(3) == 0)
		p.note(err)
	case FaultConfigStorm:
		p.storm(ctx, fault.For)
	case FaultPoisonRequest:
		p.sendPoison(ctx, random)
	case FaultZoneEvacuated, FaultZoneEmptiedCold, FaultZoneCold:
		p.injectZoneFault(ctx, fault, machine.Zone)
	case FaultInstanceSlow, FaultAnswersLost, FaultAnswersSpoiled, FaultAnswersFail, FaultIdleForgotten, FaultInstanceHangs:
		machine.Instance().Set(behaviourOf(fault.Kind))
		sleep.For(ctx, fault.For)
		machine.Instance().Set(instance.Behaviour{})
	default:
		p.injectStoreFault(ctx, fault, random)
	}
}

// poisonPause is the time between two sends of a poison request.
const poisonPause = 200 * time.Millisecond

// sendPoison sends a poison request to one machine after the other, until the day ends.
func (p *play) sendPoison(ctx context.Context, random *rand.Rand) {
	requests := PoisonRequests()
	names := slices.Sorted(maps.Keys(requests))
	poison := requests[names[random.IntN(len(names))]]
	for sleep.For(ctx, poisonPause) {
		machine := p.site.Machines[random.IntN(len(p.site.Machines))]
		if machine.Caller() != "" {
			poison.Send(ctx, p.site, machine, int(p.poisonSent.Add(1)))
		}
	}
}

func behaviourOf(kind FaultKind) instance.Behaviour {
	switch kind {
	case FaultInstanceSlow:
		return instance.Behaviour{Slowdown: 6}
	case FaultAnswersLost:
		return instance.Behaviour{LostAnswerShare: 0.2}
	case FaultAnswersFail:
		return instance.Behaviour{FailureShare: 0.5}
	case FaultInstanceHangs:
		return instance.Behaviour{Slowdown: 6, Capacity: 2, OnFull: instance.OnFullHang}
	case FaultIdleForgotten:
		return instance.Behaviour{IdleTimeout: 20 * time.Millisecond}
	default:
		return instance.Behaviour{
			TruncatedShare: 0.1, DuplicateShare: 0.2, DuplicateDelay: 10 * time.Millisecond, UnframedShare: 0.1, GarbageShare: 0.1, EarlyRefusalShare: 0.2,
		}
	}
}

// injectStoreFault puts one fault of the store in force for its time; one at a time, since they
// replace each other.
func (p *play) injectStoreFault(ctx context.Context, fault Fault, random *rand.Rand) {
	p.storeFault.Lock()
	defer p.storeFault.Unlock()
	if hidesOrders(fault.Kind) {
		p.site.Ledger.StoreUnavailable()
		defer func() { p.site.Ledger.StoreAvailable(time.Now().Add(p.plan.Options.Contact)) }()
	}
	switch fault.Kind {
	case FaultStoreRefuses:
		p.site.FailStoreFor(objectstore.Faults{Down: true}, p.half(random)...)
	case FaultStoreIgnores:
		p.site.FailStoreFor(objectstore.Faults{Silent: true}, p.half(random)...)
	case FaultStoreForgets:
		p.site.Store.SetFaults(objectstore.Faults{FreezeWatches: true})
		sleep.For(ctx, fault.For/4)
		p.site.Store.SetFaults(objectstore.Faults{})
		p.site.Store.CompactHistory()
		return
	case FaultStoreDown:
		p.site.Store.SetFaults(objectstore.Faults{Down: true})
	case FaultStoreSilent:
		p.site.Store.SetFaults(objectstore.Faults{Silent: true})
	case FaultStoreSlow:
		p.site.Store.SetFaults(objectstore.Faults{Delay: 250 * time.Millisecond})
	case FaultWritesLost:
		p.site.Store.SetFaults(objectstore.Faults{LoseWrites: 0.4, Late: true})
	}
	sleep.For(ctx, fault.For)
	p.site.Store.SetFaults(objectstore.Faults{})
}

// hidesOrders reports whether daemons cannot hear of orders under a fault of the
// store, not even from each other.
func hidesOrders(kind FaultKind) bool {
	return kind == FaultStoreDown || kind == FaultStoreSilent || kind == FaultStoreForgets
}

// coldAhead is how long before the end of its evacuation a zone turns cold: two heartbeats of the
// default day.
const coldAhead = 400 * time.Millisecond

// injectZoneFault carries out one fault of a zone; one at a time is in force there. An
// evacuation lasts for the fault's time beyond its bound, so that it is checked.
func (p *play) injectZoneFault(ctx context.Context, fault Fault, zone string) {
	p.zoneFaults[zone].Lock()
	defer p.zoneFaults[zone].Unlock()
	if fault.Kind == FaultZoneCold {
		p.note(p.site.RestartZone(zone, fault.For/4))
		return
	}
	p.note(p.site.Evacuate(zone))
	defer p.site.EndEvacuation(zone)
	sleep.For(ctx, p.plan.Options.EvacuationBound+fault.For)
	if fault.Kind == FaultZoneEmptiedCold {
		p.site.MakeCold(zone)
		sleep.For(ctx, coldAhead)
	}
}

func (p *play) half(random *rand.Rand) []*Machine {
	machines := slices.Clone(p.site.Machines)
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return machines[:(len(machines)+1)/2]
}

func (p *play) killHalf(down time.Duration) {
	var kills sync.WaitGroup
	for index, machine := range p.site.Machines {
		if index%2 == 0 {
			kills.Go(func() { p.note(machine.Kill(down)) })
		}
	}
	kills.Wait()
}

func (p *play) storm(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && sleep.For(ctx, 20*time.Millisecond) {
		_, err := p.site.Declare(p.plan.Routes)
		p.note(err)
	}
}

// finish waits until the last configuration is in force everywhere, checks what must hold then, and
// sums up.
func (p *play) finish(ctx context.Context) (Summary, error) {
	p.site.Store.SetFaults(objectstore.Faults{})
	version, err := p.site.Declare(p.plan.Routes)
	p.note(err)
	restCtx, cancel := context.WithTimeout(ctx, p.plan.ApplyBound+p.plan.Options.Contact)
	defer cancel()
	if p.site.AwaitInForce(restCtx, version) != nil {
		p.site.Ledger.Record(promise.Config, "", "a version is not in force everywhere after the day")
	}
	requests, repeats := p.site.Ledger.Repeats()
	if float64(repeats) > 0.2*float64(requests)+64 {
		p.site.Ledger.Record(promise.Budget, "", "more repeats than the budget allows")
	}
	coldCrashes, err := p.site.ColdCrashes()
	p.note(err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Summary{
		Served: p.tally.Served.Load(), Refused: p.tally.Refused.Load(), Failed: p.tally.Failed.Load(),
		LatencyP50: p.tally.Latency(50), LatencyP99: p.tally.Latency(99),
		Convergence: p.convergence, Changes: p.changes, Repeats: repeats, CutAtStops: p.cut, ColdCrashes: coldCrashes,
		Breaches: p.site.Ledger.Breaches(),
	}, p.err
}
