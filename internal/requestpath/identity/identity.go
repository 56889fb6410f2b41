// Package identity decides whether a request may be served under the API key that it presents, and
// how to handle a key that the configuration in force does not contain. Such a key may be wrong, or
// this daemon may not have the newest configuration yet.
//
// The decision is a pure function. Package account supplies the account of a key, and the caller
// states how current the configuration in force is. No other daemon is queried, so that wrong keys
// cost no messages, however many there are.
//
// Invariants: a key is refused as unknown only if the configuration in force is known to be new
// enough; if revocations have a time limit, a daemon that cannot confirm its configuration within
// it serves no key.
package identity

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/account"
)

// Freshness states how current the configuration in force at this daemon is. The zero value means
// that it is the newest.
type Freshness struct {
	// SinceConfirmed is the time since the configuration was last confirmed to be the newest.
	SinceConfirmed time.Duration
	// Behind is true if another daemon has a newer configuration in force.
	Behind bool
}

// Bounds are the requirements of a site on how current the keys of a daemon are.
type Bounds struct {
	// MaxApplyDelay is the time within which an accepted configuration must be in force at all daemons.
	MaxApplyDelay time.Duration
	// MaxUnconfirmed is the time without confirmation after which no key is served; 0 for no limit.
	MaxUnconfirmed time.Duration
}

// TooOld reports whether a revocation may have gone unnoticed for longer than the site allows.
func (b Bounds) TooOld(freshness Freshness) bool {
	return b.MaxUnconfirmed > 0 && freshness.SinceConfirmed >= b.MaxUnconfirmed
}

// upToDate reports whether the configuration in force is new enough to refuse an unknown key: no
// configuration that must be in force by now can contain the key.
func (b Bounds) upToDate(freshness Freshness) bool {
	return !freshness.Behind && freshness.SinceConfirmed <= b.MaxApplyDelay
}

// Input holds the input of the decision on a request, as known when its key was looked up.
type Input struct {
	// Caller is the account of the key, nil for none.
	Caller *account.Account
	// Public is true for a route that requires no key.
	Public    bool
	Freshness Freshness
	// Waited is true if the request has already waited for a newer configuration.
	Waited bool
}

// Decision is the result of Decide.
type Decision uint8

// Decisions on a request.
const (
	// ServeCaller serves the request under the account of its caller. ServeAnonymous serves it without
	// an account.
	ServeCaller Decision = iota
	ServeAnonymous
	// RefuseUnknown refuses a key that belongs to no account.
	RefuseUnknown
	// RefuseUnconfirmed refuses a key that this daemon cannot decide on. The caller may retry.
	RefuseUnconfirmed
	// AwaitNewer waits a short time for the newer configuration before the decision is repeated.
	AwaitNewer
)

// Decide decides how a request is handled. It checks in this order:
//
//   - A known key is served, unless the configuration is too old. A newer configuration may have
//     revoked the key; Bounds.MaxUnconfirmed and the apply bound of the distribution limit for how long
//     that can go unnoticed.
//   - A public route is served regardless of the key, without an account if the key is not known or
//     the configuration is too old.
//   - If the configuration is too old, no key is served.
//   - An unknown key waits once if another daemon is known to have a newer configuration, because
//     that configuration will arrive soon. Otherwise there is nothing to wait for.
//   - An unknown key is refused for good if the configuration in force is new enough, otherwise
//     until it is confirmed.
func Decide(facts Input, bounds Bounds) Decision {
	tooOld := bounds.TooOld(facts.Freshness)
	known := facts.Caller != nil && !tooOld
	switch {
	case known:
		return ServeCaller
	case facts.Public:
		return ServeAnonymous
	case tooOld:
		return RefuseUnconfirmed
	case facts.Freshness.Behind && !facts.Waited:
		return AwaitNewer
	case !bounds.upToDate(facts.Freshness):
		return RefuseUnconfirmed
	default:
		return RefuseUnknown
	}
}

// waitFraction is the fraction of the target latency of a route that a request with an unknown key
// waits for a newer configuration. It leaves a refused caller enough time to retry.
const waitFraction = 0.2

// maxWait is the maximum of that wait, and the wait for a route without a target. Configurations
// that are being distributed between daemons arrive sooner.
const maxWait = 200 * time.Millisecond

// UpdateWait returns how long a request with an unknown key waits for a newer configuration. target is
// the target latency of its route, 0 for none.
func UpdateWait(target time.Duration) time.Duration {
	if target == 0 {
		return maxWait
	}
	return min(time.Duration(waitFraction*float64(target)), maxWait)
}
