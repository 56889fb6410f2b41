// Package identity decides whether a request may be served by the API key that it presents, and what
// happens to a key that the configuration in force does not hold: it may be wrong, or this daemon may
// be behind.
//
// The decision is pure. It relies on package account for whose a key is, and on its caller for how
// current the configuration in force is. It asks nobody, so that wrong keys, however many, cost no
// messages.
//
// What must hold: a key is refused as unknown only where the configuration in force is known to be
// new enough for that; and where revocations are strict, a daemon that cannot confirm its
// configuration serves no key.
package identity

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/account"
)

// Currency is how current the configuration in force at this daemon is. The zero value stands for
// one that is always the newest.
type Currency struct {
	// Unconfirmed is the time since it was last confirmed to be the newest.
	Unconfirmed time.Duration
	// Behind is true when another daemon has a newer one in force.
	Behind bool
}

// Bounds are what a site demands of the currency of a daemon's keys.
type Bounds struct {
	// Apply is the time within which an accepted configuration must be in force everywhere.
	Apply time.Duration
	// Revocation is the time without confirmation after which no key is served, 0 for no limit.
	Revocation time.Duration
}

// TooOld reports whether keys may have been revoked for longer than the site bears.
func (b Bounds) TooOld(currency Currency) bool {
	return b.Revocation > 0 && currency.Unconfirmed >= b.Revocation
}

// newest reports whether a key that the configuration in force lacks was in no configuration that
// had to be in force by now.
func (b Bounds) newest(currency Currency) bool {
	return !currency.Behind && currency.Unconfirmed <= b.Apply
}

// Facts are what is known of a request when its key was looked up.
type Facts struct {
	// Caller is the account that the key belongs to, nil for none.
	Caller *account.Account
	// Public is true for a route that needs no key.
	Public   bool
	Currency Currency
	// Waited is true when the request has waited for a newer configuration already.
	Waited bool
}

// Decision is what happens to a request.
type Decision uint8

// Decisions.
const (
	// ServeCaller serves the request as one of its caller's account, ServeAnyone as one of nobody's.
	ServeCaller Decision = iota
	ServeAnyone
	// RefuseUnknown refuses a key that belongs to no account.
	RefuseUnknown
	// RefuseUnconfirmed refuses a key that this daemon cannot decide on; the caller may come back.
	RefuseUnconfirmed
	// AwaitNewer waits a short time for the newer configuration, and decides anew.
	AwaitNewer
)

// Decide decides on a request. Conditions, in this order:
//
//   - A public route is served whatever the key says. The account is stated only where the key is
//     known and not too old.
//   - Keys that are too old are not served.
//   - A known key is served. A newer configuration may have revoked it; how long that may go unseen
//     is what Bounds.Revocation and the apply bound of the distribution limit.
//   - An unknown key waits once where another daemon is known to have a newer configuration: it is
//     on its way. Without that there is nothing to wait for.
//   - An unknown key is refused for good where the configuration in force is new enough, else until
//     it is confirmed.
func Decide(facts Facts, bounds Bounds) Decision {
	tooOld := bounds.TooOld(facts.Currency)
	known := facts.Caller != nil && !tooOld
	switch {
	case known:
		return ServeCaller
	case facts.Public:
		return ServeAnyone
	case tooOld:
		return RefuseUnconfirmed
	case facts.Currency.Behind && !facts.Waited:
		return AwaitNewer
	case !bounds.newest(facts.Currency):
		return RefuseUnconfirmed
	default:
		return RefuseUnknown
	}
}

// Part of a route's target latency that a request with an unknown key waits for a newer
// configuration. A caller that is refused then can still come back in time.
const waitPart = 0.2

// maxWait bounds that wait, also for a route without a target: configurations that are on their way
// between daemons arrive sooner.
const maxWait = 200 * time.Millisecond

// WaitFor returns how long a request with an unknown key waits for a newer configuration. target is
// the target latency of its route, 0 for none.
func WaitFor(target time.Duration) time.Duration {
	if target == 0 {
		return maxWait
	}
	return min(time.Duration(waitPart*float64(target)), maxWait)
}
