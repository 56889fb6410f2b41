package holdings

import "github.com/lapisvane/lapisvane/api/lapisv1"

// Difference returns the subscription that turns previous into next for a
// receiver that knows previous.
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

// Amend returns the set that a received subscription makes of previous.
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
