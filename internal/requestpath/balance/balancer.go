package balance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// Balancer holds the instances of all services and this daemon's observations of them. It is safe
// for concurrent use.
type Balancer struct {
	daemon string
	place  locality.Place
	now    func() time.Time
	random Random

	// mutex protects services and statements. The slices in services are replaced, never modified.
	mutex    sync.RWMutex
	services map[string][]*Target
	// statements holds what the instances of each service stated about themselves.
	statements map[string]statements
	// created is the creation time of the balancer. Instances added shortly after it get no slow
	// start.
	created time.Time
}

// New returns a balancer for the named daemon in the given zone and region. An empty region means
// that the region is unknown; all instances then count as being in the daemon's region. now is the
// clock.
func New(daemon, zone, region string, now func() time.Time) *Balancer {
	return &Balancer{
		daemon: daemon, place: locality.Place{Zone: zone, Region: region},
		now: now, random: globalRandom{}, services: map[string][]*Target{}, statements: map[string]statements{}, created: now(),
	}
}

// SetRandom replaces the source of randomness, which is the global generator of math/rand/v2 by
// default. It must be called before the first Pick, and random must be safe for concurrent use if
// Pick is called concurrently.
func (b *Balancer) SetRandom(random Random) { b.random = random }

// Update replaces the instances of a service. The observations of an instance are kept as long as the
// incarnation of its daemon does not change, and what it stated about itself for longer.
func (b *Balancer) Update(service string, endpoints []*lapisv1.Endpoint) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	previous := map[string]*Target{}
	for _, target := range b.services[service] {
		previous[target.Endpoint.GetInstance()] = target
	}
	now := b.now()
	stated := b.statementsOf(service).list(endpoints, now)
	targets := make([]*Target, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_GONE {
			continue
		}
		instance := endpoint.GetInstance()
		targets = append(targets, b.updatedTarget(previous[instance], endpoint, stated[instance], now))
	}
	b.services[service] = targets
}

// statementsOf returns the statements of the instances of a service. The caller must hold mutex.
func (b *Balancer) statementsOf(service string) statements {
	known := b.statements[service]
	if known == nil {
		known = statements{}
		b.statements[service] = known
	}
	return known
}

// updatedTarget returns the target for an endpoint. It reuses the observations of previous, which
// may be nil, if both have the same incarnation.
func (b *Balancer) updatedTarget(previous *Target, endpoint *lapisv1.Endpoint, stated *statement, now time.Time) *Target {
	if previous != nil && previous.Endpoint == endpoint {
		return previous
	}
	if previous != nil && previous.Endpoint.GetIncarnation() == endpoint.GetIncarnation() {
		previous.setColdUntil(endpoint, now)
		return &Target{Endpoint: endpoint, observations: previous.observations, statement: stated}
	}
	target := &Target{
		Endpoint: endpoint, observations: &observations{slowStartAt: slowStartTime(previous, endpoint, b.created, now)}, statement: stated,
	}
	target.setColdUntil(endpoint, now)
	return target
}

// Targets returns the instances of a service. The caller must not modify the slice.
func (b *Balancer) Targets(service string) []*Target {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.services[service]
}

// Pick selects an instance of a service. It returns CallNoEndpoint with a retry time if there is
// none; the error wraps a *ConstraintError if a constraint excluded the last instance.
func (b *Balancer) Pick(service *snapshot.Service, choice Choice) (*Target, error) {
	selection := selector{
		daemon: b.daemon, place: b.place, service: service, choice: choice,
		now: b.now(), random: b.random,
	}
	return selection.pick(b.Targets(service.Bundle.GetPool().GetName()))
}

// MajorityHealthy reports whether more than half of the instances of a service have a low recent
// failure rate (maxHealthyFailureRate). A failed call is then attributed to its instance and not to
// a dependency that all instances share.
func (b *Balancer) MajorityHealthy(service string) bool {
	targets := b.Targets(service)
	now := b.now()
	healthy := 0
	for _, target := range targets {
		if target.recentFailureRate(now) < maxHealthyFailureRate {
			healthy++
		}
	}
	return majorityHealthy(healthy, len(targets))
}
