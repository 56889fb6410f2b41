package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Tunables of balancing.
const (
	// SubsetSize is the number of instances of one service that a daemon uses,
	// so that its connections stay few.
	SubsetSize = 8
	// zonePenalty is how many more calls per slot an instance of the own zone
	// may have than one of another zone before the other is preferred.
	zonePenalty = 0.75
	// slowStart is how long a new instance gets a growing part of the calls.
	slowStart = 10 * time.Second
	// coldWeight is the part of the calls that a new instance gets at first.
	coldWeight = 0.1
	// coldFactor is how much more loaded an instance counts that says it is
	// still slow from its start.
	coldFactor = 2
	// leastWarm is the number of warm instances in a subset, if there are so many: the
	// part that is for spill-over.
	leastWarm = SubsetSize / 4
	// ejectAfter is the number of failures in a row that eject an instance.
	ejectAfter = 3
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// each further failure.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// crossingBase and crossingPerKilobyte are what a call to another zone
	// costs, in parts of the target latency, up to crossingMax for its bytes.
	crossingBase        = 0.05
	crossingPerKilobyte = 0.25
	crossingMax         = 6
	// failureCost is what a certain failure costs, in parts of the target
	// latency: an answer that fails is worth nothing, one from another zone or a
	// late one is worth most of it.
	failureCost = 2
	// latenessCost is what an answer costs that is certain to be late, in parts of
	// the target latency; like a failure it is worth little.
	latenessCost = 2
	// soundShare is the share of failures below which an instance counts as
	// sound.
	soundShare = 0.1
	// choiceNoise is the most that chance adds to a cost.
	choiceNoise = 0.05
	// reportLifetime is how long a reported load counts.
	reportLifetime = 2 * time.Second
	// constrainedRetryAfter is named where constraints left no instance: orders and
	// configurations stand longer than calls wait, and who comes back sooner is only
	// refused again.
	constrainedRetryAfter = 5 * time.Second
	// reportWeight is the weight of reported load against calls in flight from
	// here, which are certain.
	reportWeight = 0.5
)

// Balancer chooses among the instances of all services. It is safe for
// concurrent use.
type Balancer struct {
	node  string
	place locality.Place
	now   func() time.Time

	// mutex protects services; the slices in it are replaced, not changed.
	mutex    sync.RWMutex
	services map[string][]*Target
	created  time.Time
}

// New returns a balancer for the daemon node in zone and region; an empty region is not
// known, and all instances count as in it.
func New(node, zone, region string, now func() time.Time) *Balancer {
	return &Balancer{node: node, place: locality.Place{Zone: zone, Region: region}, now: now, services: map[string][]*Target{}, created: now()}
}

// Update replaces the instances of a service; observations of instances that
// stay are kept.
func (b *Balancer) Update(service string, endpoints []*lapisv1.Endpoint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	previous := map[string]*Target{}
	for _, target := range b.services[service] {
		previous[target.Endpoint.GetInstance()] = target
	}
	now := b.now()
	targets := make([]*Target, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_GONE {
			continue
		}
		targets = append(targets, b.renew(previous[endpoint.GetInstance()], endpoint, now))
	}
	b.services[service] = targets
}

// renew keeps the observations of an instance while its address stays.
func (b *Balancer) renew(known *Target, endpoint *lapisv1.Endpoint, now time.Time) *Target {
	if known != nil && known.Endpoint == endpoint {
		return known
	}
	if known != nil && known.Endpoint.GetIncarnation() == endpoint.GetIncarnation() {
		known.noteCold(endpoint, now)
		return &Target{Endpoint: endpoint, observations: known.observations}
	}
	target := &Target{Endpoint: endpoint, observations: &observations{firstSeen: now}}
	switch {
	case known != nil:
		target.firstSeen = known.firstSeen
	case now.Sub(b.created) < slowStart, endpoint.GetSlots() > 0:
		// What is there when this daemon starts is taken as warm, and so is
		// what states itself how long it stays slow.
		target.firstSeen = now.Add(-slowStart)
	}
	target.noteCold(endpoint, now)
	return target
}

// Targets returns the instances of a service.
func (b *Balancer) Targets(service string) []*Target {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.services[service]
}

// Choice is what an instance is chosen for.
type Choice struct {
	// Exclude are instances that were tried already.
	Exclude []*Target
	// Key is the caller's idempotency key, empty for none.
	Key   string
	Route string
	// Target is the time inside which an answer is worth most, 0 where the
	// route states none.
	Target time.Duration
	// Spent is the part of Target that is over already.
	Spent time.Duration
	// Bytes is about how many go both ways.
	Bytes float64
	// Constraints are what an instance must meet to be chosen at all.
	Constraints []Constraint
}

// Pick chooses an instance. A call with an idempotency key goes to the instance
// that ranks first for the key, so that repetitions meet. Errors:
// CallNoEndpoint, which wraps a *ConstraintError where one left nothing.
func (b *Balancer) Pick(service *snapshot.Service, choice Choice) (*Target, error) {
	name := service.Bundle.GetPool().GetName()
	untried := without(b.Targets(name), choice.Exclude)
	allowed, err := filter(untried, choice.Constraints)
	if err != nil {
		refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s may get the call", name)
		refusal.Cause = err
		refusal.RetryAfter = constrainedRetryAfter
		return nil, refusal
	}
	candidates := b.candidates(service, allowed)
	if len(candidates) == 0 {
		refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s may take the call", name)
		refusal.RetryAfter = time.Second
		return nil, refusal
	}
	if choice.Key != "" {
		return rankFirst(candidates, choice.Key), nil
	}
	slots := float64(max(service.Bundle.GetPool().GetSlots(), 1))
	coldRate := service.Bundle.GetPool().GetColdCallsPerSecond()
	if choice.Target > 0 {
		return b.cheapest(b.subset(candidates, coldRate), slots, coldRate, choice), nil
	}
	return b.leastLoaded(b.subset(candidates, coldRate), slots), nil
}

// without returns the targets that are not excluded.
func without(targets, exclude []*Target) []*Target {
	if len(exclude) == 0 {
		return targets
	}
	kept := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if !slices.Contains(exclude, target) {
			kept = append(kept, target)
		}
	}
	return kept
}

// candidates returns the instances that may take work: the healthy ones, else
// the ejected and suspect ones, so that a pool is never emptied by suspicion.
func (b *Balancer) candidates(service *snapshot.Service, targets []*Target) []*Target {
	now := b.now()
	healthy := make([]*Target, 0, len(targets))
	var doubtful []*Target
	for _, target := range targets {
		state := target.Endpoint.GetState()
		if !service.TakesNewWork(target.Endpoint.GetInstance()) || state == lapisv1.Endpoint_STATE_DRAINING {
			continue
		}
		if state == lapisv1.Endpoint_STATE_SUSPECT || target.ejected(now) {
			doubtful = append(doubtful, target)
			continue
		}
		healthy = append(healthy, target)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return doubtful
}

func rankFirst(candidates []*Target, key string) *Target {
	return slices.MaxFunc(candidates, func(a, b *Target) int {
		return cmp.Compare(rendezvous.Score(key, a.Endpoint.GetInstance()), rendezvous.Score(key, b.Endpoint.GetInstance()))
	})
}

// subset returns at most SubsetSize candidates of one region, chosen by a hash of this
// daemon and the instance, so that daemons spread evenly and a change of one
// instance changes little. Instances of the own zone come first, then those of the own
// region; where there are other regions, otherRegionPart are from there for spill-over,
// so that there may be SubsetSize/4 more in all. Where cold instances bear coldRate
// calls a second only, some of the subset are warm if there are any.
func (b *Balancer) subset(candidates []*Target, coldRate float64) []*Target {
	if len(candidates) <= SubsetSize {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(x, y *Target) int {
		return cmp.Compare(rendezvous.Score(b.node, x.Endpoint.GetInstance()), rendezvous.Score(b.node, y.Endpoint.GetInstance()))
	})
	near, far := b.byRegion(ranked)
	farPart := min(otherRegionPart, len(far))
	nearPart := min(SubsetSize-min(farPart, SubsetSize/4), len(near))
	chosen := append(b.nearSubset(near, nearPart), far[:max(farPart, min(SubsetSize-nearPart, len(far)))]...)
	if coldRate > 0 {
		withWarm(chosen, without(ranked, chosen), b.now())
	}
	return chosen
}

// byRegion parts the targets into those of the own region and those of others.
func (b *Balancer) byRegion(targets []*Target) (near, far []*Target) {
	for _, target := range targets {
		if b.tierOf(target.Endpoint) == locality.OtherRegion {
			far = append(far, target)
		} else {
			near = append(near, target)
		}
	}
	return near, far
}

// nearSubset takes so many targets of the own region: up to three quarters are the first
// ones of the own zone, the others the first ones of what is left.
func (b *Balancer) nearSubset(near []*Target, count int) []*Target {
	localPart := count * 3 / 4
	chosen := make([]*Target, 0, SubsetSize)
	var rest []*Target
	for _, target := range near {
		if target.Endpoint.GetZone() == b.place.Zone && len(chosen) < localPart {
			chosen = append(chosen, target)
			continue
		}
		rest = append(rest, target)
	}
	return append(chosen, rest[:count-len(chosen)]...)
}

// withWarm puts warm instances of the rest in the place of the last cold ones, so that
// at least leastWarm of those chosen are warm if there are so many.
func withWarm(chosen, rest []*Target, now time.Time) {
	// Each is asked once: what it says may change meanwhile.
	var cold []int
	for place, target := range chosen {
		if target.cold(now) {
			cold = append(cold, place)
		}
	}
	missing := leastWarm - (len(chosen) - len(cold))
	for _, target := range rest {
		if missing <= 0 || len(cold) == 0 {
			return
		}
		if target.cold(now) {
			continue
		}
		last := len(cold) - 1
		chosen[cold[last]] = target
		cold = cold[:last]
		missing--
	}
}

// cheapest takes the instance with the least cost: the expected time until an
// answer in parts of the target latency, the chance that it is late, the price of
// bytes to another zone or region, and the share of failures. A little noise keeps daemons
// from all choosing the same one.
func (b *Balancer) cheapest(candidates []*Target, slots, coldRate float64, choice Choice) *Target {
	now := b.now()
	conditions := make([]condition, len(candidates))
	for index, target := range candidates {
		conditions[index] = target.condition(choice.Route, b.tierOf(target.Endpoint), slots, coldRate, now)
	}
	target := choice.Target.Seconds()
	left := target - choice.Spent.Seconds()
	spread := typicalSpread(conditions, now)
	typical, known := typicalService(conditions)
	if !known {
		typical = target / 4
	}
	var best *Target
	least := math.Inf(1)
	for index, seen := range conditions {
		total, service := seen.expected(typical, now)
		total += roundTripOf(seen.elsewhere)
		late := lateness(service, spread, left-(total-service))
		cost := total/target + late*latenessCost + seen.failures*failureCost + choiceNoise*rand.Float64()
		cost += crossingOf(seen.elsewhere, choice.Bytes)
		if cost < least {
			least = cost
			best = candidates[index]
		}
	}
	return best
}

// MostlySound reports whether more than half of the instances of a service have
// failed little lately, so that a failure is that of one instance and not of what
// all of them need.
func (b *Balancer) MostlySound(service string) bool {
	targets := b.Targets(service)
	now := b.now()
	sound := 0
	for _, target := range targets {
		if target.failureShare(now) < soundShare {
			sound++
		}
	}
	return 2*sound > len(targets)
}

// leastLoaded takes the better of two random instances of each locality, and of these
// the nearest one unless it is clearly more loaded.
func (b *Balancer) leastLoaded(candidates []*Target, slots float64) *Target {
	now := b.now()
	var tiers [locality.OtherRegion + 1][]*Target
	for _, target := range candidates {
		tier := b.tierOf(target.Endpoint)
		tiers[tier] = append(tiers[tier], target)
	}
	var best *Target
	least := math.Inf(1)
	for tier, targets := range tiers {
		target, score := betterOfTwo(targets, slots, now)
		score += penaltyOf(locality.Tier(tier))
		if score < least {
			best, least = target, score
		}
	}
	return best
}

func betterOfTwo(targets []*Target, slots float64, now time.Time) (*Target, float64) {
	if len(targets) == 0 {
		return nil, math.Inf(1)
	}
	first := rand.IntN(len(targets))
	best, bestScore := targets[first], targets[first].score(slots, now)
	if len(targets) == 1 {
		return best, bestScore
	}
	second := (first + 1 + rand.IntN(len(targets)-1)) % len(targets)
	if score := targets[second].score(slots, now); score < bestScore {
		return targets[second], score
	}
	return best, bestScore
}

// RefusedFor returns how much longer that time is; 0 once it is over.
func (t *Target) RefusedFor(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.refusedUntil.Sub(now), 0)
}
