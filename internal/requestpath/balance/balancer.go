package balance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// Balancer holds the instances of all services with what this daemon observed of them. It
// is safe for concurrent use.
type Balancer struct {
	daemon string
	place  locality.Place
	now    func() time.Time

	// mutex protects services; the slices in it are replaced, not changed.
	mutex    sync.RWMutex
	services map[string][]*Target
	// created is when the balancer was made, as the start of slow starts.
	created time.Time
}

// New returns a balancer for the daemon of that name in zone and region; an empty region is
// not known, and all instances count as in it. now is the clock.
func New(daemon, zone, region string, now func() time.Time) *Balancer {
	return &Balancer{
		daemon: daemon, place: locality.Place{Zone: zone, Region: region},
		now: now, services: map[string][]*Target{}, created: now(),
	}
}

// Update replaces the instances of a service. Observations are kept while an instance keeps
// its incarnation.
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

// renew returns the target for an endpoint, with the observations of the known one (which
// may be nil) if that is the same incarnation.
func (b *Balancer) renew(known *Target, endpoint *lapisv1.Endpoint, now time.Time) *Target {
	if known != nil && known.Endpoint == endpoint {
		return known
	}
	if known != nil && known.Endpoint.GetIncarnation() == endpoint.GetIncarnation() {
		known.noteCold(endpoint, now)
		return &Target{Endpoint: endpoint, observations: known.observations}
	}
	target := &Target{Endpoint: endpoint, observations: &observations{slowStartAt: slowStartOf(known, endpoint, b.created, now)}}
	target.noteCold(endpoint, now)
	return target
}

// Targets returns the instances of a service; the slice must not be changed.
func (b *Balancer) Targets(service string) []*Target {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.services[service]
}

// Pick chooses an instance of a service. Errors: CallNoEndpoint with the time to come back,
// which wraps a *ConstraintError where a constraint left no instance.
func (b *Balancer) Pick(service *snapshot.Service, choice Choice) (*Target, error) {
	selection := selector{
		daemon: b.daemon, place: b.place, service: service, choice: choice,
		now: b.now(), random: processRandom{},
	}
	return selection.pick(b.Targets(service.Bundle.GetPool().GetName()))
}

// MostlySound reports whether more than half of the instances of a service lately failed little
// (soundShare), so that a failure is one of its instance and not of what all of them need.
func (b *Balancer) MostlySound(service string) bool {
	targets := b.Targets(service)
	now := b.now()
	sound := 0
	for _, target := range targets {
		if target.failureShare(now) < soundShare {
			sound++
		}
	}
	return mostlySound(sound, len(targets))
}
