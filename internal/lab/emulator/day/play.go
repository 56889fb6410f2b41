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

// FaultKind is the name of a kind of fault.
type FaultKind string

// The kinds of faults that a day can inject.
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
	FaultInstanceLimited FaultKind = "instance-states-limit"
	// FaultPoisonRequest repeatedly sends a poison request, under which each instance that runs it
	// crashes.
	FaultPoisonRequest FaultKind = "deadly-request"
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	FaultDaemonKill, FaultDaemonStop, FaultHerdKill, FaultInstanceCrash, FaultInstanceRelease, FaultInstanceSlow,
	FaultAnswersLost, FaultAnswersSpoiled, FaultAnswersFail, FaultIdleForgotten, FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreForgets, FaultStoreRefuses, FaultStoreIgnores,
	FaultWritesLost, FaultConfigStorm, FaultZoneEvacuated, FaultZoneEmptiedCold, FaultZoneCold, FaultInstanceHangs, FaultInstanceLimited,
	FaultPoisonRequest,
}

// Fault is one fault of a day.
type Fault struct {
	Kind FaultKind
	// At is the time from the start of the day to the fault, Duration the time for which it lasts.
	At, Duration time.Duration
}

// Plan describes a day: a site, its load and the faults that are injected.
type Plan struct {
	Options Options
	Routes  []Route
	Classes []client.Class
	Bursts  []client.Burst
	Length  time.Duration
	// ChangeInterval is the time between two configuration changes; 0 disables the changes.
	ChangeInterval time.Duration
	Faults         []Fault
	// ApplyBound is the time within which a configuration must be in force on every daemon that no
	// fault affects.
	ApplyBound time.Duration
}

// Summary is the result of a day.
type Summary struct {
	Served, Refused, Failed int64
	LatencyP50, LatencyP99  time.Duration
	// Convergence is the maximum time until a configuration was in force on every daemon, among the
	// changes that were in force within Plan.ApplyBound.
	Convergence time.Duration
	Changes     int
	Repeats     int
	CutAtStops  int64
	// ColdCrashes is the number of instances that crashed in slow start.
	ColdCrashes int
	Breaches    []promise.Breach
}

// DrawFaults returns count random faults of the given kinds within a day of the given length. The seed
// determines the result.
func DrawFaults(seed uint64, kinds []FaultKind, count int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	faults := make([]Fault, 0, count)
	for range count {
		faults = append(faults, Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			At:       time.Duration(random.Float64() * 0.8 * float64(length)),
			Duration: time.Duration((0.05 + 0.15*random.Float64()) * float64(length)),
		})
	}
	return faults
}

// Run simulates a day: it starts the site, applies load and faults, and returns the summary.
func Run(ctx context.Context, plan Plan) (Summary, error) {
	site, err := Start(ctx, plan.Options, plan.Routes)
	if site != nil {
		defer site.Close()
	}
	if err != nil {
		return Summary{}, err
	}
	play := &play{site: site, plan: plan, tally: client.NewTally(), zoneFaultMutexes: map[string]*sync.Mutex{}}
	for _, zone := range site.Zones() {
		play.zoneFaultMutexes[zone] = &sync.Mutex{}
	}
	dayCtx, end := context.WithTimeout(ctx, plan.Length)
	defer end()
	load := &client.Load{Classes: plan.Classes, Bursts: plan.Bursts, Targets: site.Targets(), Ledger: site.Ledger, Tally: play.tally, Seed: plan.Options.Seed}
	var running sync.WaitGroup
	running.Go(func() { load.Run(dayCtx) })
	running.Go(func() { play.changeConfigurations(dayCtx) })
	running.Go(func() { site.Probe(dayCtx, plan.Options.Seed) })
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

// play is a running day.
type play struct {
	site  *Site
	plan  Plan
	tally *client.Tally

	// poisonSent is the number of poison requests sent.
	poisonSent atomic.Int64
	// storeFaultMutex is held while a fault of the store is active.
	storeFaultMutex sync.Mutex
	// zoneFaultMutexes are held while a fault of the zone is active, by zone.
	zoneFaultMutexes map[string]*sync.Mutex
	// mutex protects everything below.
	mutex       sync.Mutex
	convergence time.Duration
	changes     int
	cutCalls    int64
	err         error
}

func (p *play) changeConfigurations(ctx context.Context) {
	for p.plan.ChangeInterval > 0 && sleep.For(ctx, p.plan.ChangeInterval) {
		started := time.Now()
		version, err := p.site.Declare(p.plan.Routes)
		p.recordError(err)
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

func (p *play) recordError(err error) {
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
		p.recordError(machine.Kill(fault.Duration / 4))
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultDaemonStop:
		cut, err := machine.RestartDaemon(fault.Duration / 4)
		p.mutex.Lock()
		p.cutCalls += cut
		p.mutex.Unlock()
		p.recordError(err)
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultHerdKill:
		p.killHalf(fault.Duration / 4)
		p.site.Ledger.DaemonsDisturbed(time.Now())
	case FaultInstanceCrash:
		p.recordError(machine.CrashInstance(fault.Duration / 4))
	case FaultInstanceRelease:
		_, err := machine.ReplaceInstance(ctx, p.plan.Options.DrainBound*3/2, random.IntN(3) == 0)
		p.recordError(err)
	case FaultConfigStorm:
		p.declareRepeatedly(ctx, fault.Duration)
	case FaultPoisonRequest:
		p.sendPoison(ctx, random)
	case FaultZoneEvacuated, FaultZoneEmptiedCold, FaultZoneCold:
		p.injectZoneFault(ctx, fault, machine.Zone)
	case FaultInstanceLimited:
		machine.Instance().StateRate(ctx, minStatedRate+random.Float64()*statedRateSpread, limitFactor*fault.Duration)
	case FaultInstanceSlow, FaultAnswersLost, FaultAnswersSpoiled, FaultAnswersFail, FaultIdleForgotten, FaultInstanceHangs:
		machine.Instance().Set(behaviourOf(fault.Kind))
		sleep.For(ctx, fault.Duration)
		machine.Instance().Set(instance.Behaviour{})
	default:
		p.injectStoreFault(ctx, fault, random)
	}
}

// Constants of the rate limits that instances state: between minStatedRate and statedRateSpread more, in
// requests per second, both far below what an instance receives. A limit lasts limitFactor times as long as
// other faults, because it applies only after Options.Contact and is checked over seconds.
const (
	minStatedRate    = 0.5
	statedRateSpread = 6
	limitFactor      = 4
)

// poisonInterval is the time between two sends of a poison request.
const poisonInterval = 200 * time.Millisecond

// sendPoison sends one kind of poison request to random machines until the day ends.
func (p *play) sendPoison(ctx context.Context, random *rand.Rand) {
	requests := PoisonRequests()
	names := slices.Sorted(maps.Keys(requests))
	poison := requests[names[random.IntN(len(names))]]
	for sleep.For(ctx, poisonInterval) {
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

// injectStoreFault injects a fault of the store for the fault's duration. Only one is active at a time,
// since Server.SetFaults replaces the previous faults.
func (p *play) injectStoreFault(ctx context.Context, fault Fault, random *rand.Rand) {
	p.storeFaultMutex.Lock()
	defer p.storeFaultMutex.Unlock()
	if blocksOrders(fault.Kind) {
		p.site.Ledger.StoreUnavailable()
		defer func() { p.site.Ledger.StoreAvailable(time.Now().Add(p.plan.Options.Contact)) }()
	}
	switch fault.Kind {
	case FaultStoreRefuses:
		p.site.SetStoreFaults(objectstore.Faults{Down: true}, p.randomHalf(random)...)
	case FaultStoreIgnores:
		p.site.SetStoreFaults(objectstore.Faults{Silent: true}, p.randomHalf(random)...)
	case FaultStoreForgets:
		p.site.Store.SetFaults(objectstore.Faults{FreezeWatches: true})
		sleep.For(ctx, fault.Duration/4)
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
		p.site.Store.SetFaults(objectstore.Faults{DroppedAnswerShare: 0.4, DelayWrites: true})
	}
	sleep.For(ctx, fault.Duration)
	p.site.Store.SetFaults(objectstore.Faults{})
}

// blocksOrders reports whether a fault of the store prevents all daemons from receiving orders, so that
// they cannot pass them on to each other either.
func blocksOrders(kind FaultKind) bool {
	return kind == FaultStoreDown || kind == FaultStoreSilent || kind == FaultStoreForgets
}

// coldLeadTime is the time between the moment at which a zone becomes cold and the end of its
// evacuation. It is two heartbeat intervals of DefaultOptions, in which daemons learn of the slow start.
const coldLeadTime = 400 * time.Millisecond

// injectZoneFault injects a fault of a zone, one at a time per zone. An evacuation lasts for its bound
// plus the fault's duration, so that deliveries after the bound are checked.
func (p *play) injectZoneFault(ctx context.Context, fault Fault, zone string) {
	p.zoneFaultMutexes[zone].Lock()
	defer p.zoneFaultMutexes[zone].Unlock()
	if fault.Kind == FaultZoneCold {
		p.recordError(p.site.RestartZone(zone, fault.Duration/4))
		return
	}
	p.recordError(p.site.Evacuate(zone))
	defer p.site.EndEvacuation(zone)
	sleep.For(ctx, p.plan.Options.EvacuationBound+fault.Duration)
	if fault.Kind == FaultZoneEmptiedCold {
		p.site.MakeCold(zone)
		sleep.For(ctx, coldLeadTime)
	}
}

func (p *play) randomHalf(random *rand.Rand) []*Machine {
	machines := slices.Clone(p.site.Machines)
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	return machines[:(len(machines)+1)/2]
}

func (p *play) killHalf(down time.Duration) {
	var kills sync.WaitGroup
	for index, machine := range p.site.Machines {
		if index%2 == 0 {
			kills.Go(func() { p.recordError(machine.Kill(down)) })
		}
	}
	kills.Wait()
}

func (p *play) declareRepeatedly(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && sleep.For(ctx, 20*time.Millisecond) {
		_, err := p.site.Declare(p.plan.Routes)
		p.recordError(err)
	}
}

// finish waits until a last configuration is in force on all daemons, checks the promises that concern
// the whole day, and returns the summary.
func (p *play) finish(ctx context.Context) (Summary, error) {
	p.site.Store.SetFaults(objectstore.Faults{})
	version, err := p.site.Declare(p.plan.Routes)
	p.recordError(err)
	restCtx, cancel := context.WithTimeout(ctx, p.plan.ApplyBound+p.plan.Options.Contact)
	defer cancel()
	if p.site.AwaitInForce(restCtx, version) != nil {
		p.site.Ledger.Record(promise.Config, "", "the last configuration is not in force on all daemons after the day")
	}
	p.site.Versions.Finish()
	requests, repeats := p.site.Ledger.Repeats()
	if float64(repeats) > 0.2*float64(requests)+64 {
		p.site.Ledger.Record(promise.Budget, "", "more repeats than the budget allows")
	}
	coldCrashes, err := p.site.ColdCrashes()
	p.recordError(err)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return Summary{
		Served: p.tally.Served.Load(), Refused: p.tally.Refused.Load(), Failed: p.tally.Failed.Load(),
		LatencyP50: p.tally.Latency(50), LatencyP99: p.tally.Latency(99),
		Convergence: p.convergence, Changes: p.changes, Repeats: repeats, CutAtStops: p.cutCalls, ColdCrashes: coldCrashes,
		Breaches: p.site.Ledger.Breaches(),
	}, p.err
}
