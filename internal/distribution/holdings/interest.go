package holdings

import (
	"maps"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Interest is a set of services. The zero value is the empty set.
type Interest struct {
	// All is true when the set contains every service; Services is then unused.
	All      bool
	Services map[string]struct{}
}

// NewInterest returns the set of the given services; "*" means all.
func NewInterest(services ...string) Interest {
	interest := Interest{Services: make(map[string]struct{}, len(services))}
	for _, service := range services {
		if service == "*" {
			return Interest{All: true}
		}
		interest.Services[service] = struct{}{}
	}
	return interest
}

// FromSubscription returns the set of services in a complete subscription.
func FromSubscription(subscription *lapisv1.Subscription) Interest {
	if subscription.GetAll() {
		return Interest{All: true}
	}
	return NewInterest(subscription.GetServices()...)
}

// Subscription returns the set as a complete subscription, in sorted order.
func (i Interest) Subscription(version uint64) *lapisv1.Subscription {
	return &lapisv1.Subscription{
		Version:  version,
		All:      i.All,
		Services: slices.Sorted(maps.Keys(i.Services)),
	}
}

// Has reports whether service is in the set.
func (i Interest) Has(service string) bool {
	if i.All {
		return true
	}
	_, ok := i.Services[service]
	return ok
}

// Covers reports whether every service of other is in the set.
func (i Interest) Covers(other Interest) bool {
	if i.All {
		return true
	}
	if other.All {
		return false
	}
	for service := range other.Services {
		if !i.Has(service) {
			return false
		}
	}
	return true
}

// Union returns the services in either set.
func (i Interest) Union(other Interest) Interest {
	if i.All || other.All {
		return Interest{All: true}
	}
	union := Interest{Services: make(map[string]struct{}, len(i.Services)+len(other.Services))}
	maps.Copy(union.Services, i.Services)
	maps.Copy(union.Services, other.Services)
	return union
}

// Minus returns the services of i that are not in other. When i contains all services and other
// does not, the result contains all services, because the difference cannot be enumerated.
func (i Interest) Minus(other Interest) Interest {
	if other.All {
		return Interest{}
	}
	if i.All {
		return Interest{All: true}
	}
	difference := Interest{Services: map[string]struct{}{}}
	for service := range i.Services {
		if !other.Has(service) {
			difference.Services[service] = struct{}{}
		}
	}
	return difference
}

// Empty reports whether the set contains no services.
func (i Interest) Empty() bool { return !i.All && len(i.Services) == 0 }

// Equal reports whether both sets contain the same services.
func (i Interest) Equal(other Interest) bool {
	return i.All == other.All && (i.All || maps.Equal(i.Services, other.Services))
}

// Difference returns the subscription that changes previous into next, for a receiver that knows
// previous.
func Difference(previous, next Interest, version uint64) *lapisv1.Subscription {
	if previous.All || next.All {
		return next.Subscription(version)
	}
	added := next.Minus(previous).Subscription(version)
	removed := previous.Minus(next).Subscription(version)
	added.Incremental = true
	added.Removed = removed.GetServices()
	return added
}

// Amend returns the set that results from applying a received subscription to previous.
func Amend(previous Interest, subscription *lapisv1.Subscription) Interest {
	if !subscription.GetIncremental() {
		return FromSubscription(subscription)
	}
	amended := previous.Union(NewInterest(subscription.GetServices()...))
	for _, service := range subscription.GetRemoved() {
		delete(amended.Services, service)
	}
	return amended
}
