package gateway

import (
	"bytes"
	"context"
	"encoding/hex"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Identity is what a Gateway needs to decide on API keys. The zero value stands for a configuration
// that is always the newest.
type Identity struct {
	// Currency returns how current the configuration in force is; nil where that is always the newest.
	Currency func() identity.Currency
	Bounds   identity.Bounds
}

// currency returns how current the configuration in force is.
func (i *Identity) currency() identity.Currency {
	if i.Currency == nil {
		return identity.Currency{}
	}
	return i.Currency()
}

// maxAwaitingKeys bounds the requests that wait for a newer configuration with an unknown key, so
// that a flood of wrong keys holds little memory. One more is refused at once.
const maxAwaitingKeys = 256

// refusalReason is why a request's API key did not let it be served, as lines and metrics name it.
type refusalReason string

// Reasons for which a request is refused by its API key.
const (
	reasonMissing     refusalReason = "missing"
	reasonSeveral     refusalReason = "several"
	reasonUnknown     refusalReason = "unknown"
	reasonUnconfirmed refusalReason = "unconfirmed"
	reasonRevoked     refusalReason = "revoked"
)

// presentedKey is the API key that a request presents.
type presentedKey struct {
	// digest is the key's, valid where count is 1.
	digest account.Digest
	// count is the number of keys presented. Of several none counts, since the request does not show
	// which one is meant.
	count int
}

// keyOf returns the API key that a request presents.
func (g *Gateway) keyOf(rc *app.RequestContext) presentedKey {
	name := g.config.Envelope.Key
	if name == "" {
		return presentedKey{}
	}
	keys := rc.Request.Header.PeekAll(name)
	if len(keys) != 1 {
		return presentedKey{count: len(keys)}
	}
	// The library leaves tabs around a value.
	key := bytes.Trim(keys[0], " \t")
	if len(key) == 0 {
		return presentedKey{}
	}
	return presentedKey{digest: account.DigestOf(key), count: 1}
}

// findIn returns the account that the key belongs to, nil for none.
func (k presentedKey) findIn(accounts *account.Directory) *account.Account {
	if k.count != 1 {
		return nil
	}
	return accounts.Find(k.digest)
}

// wrong returns why the key belongs to no account.
func (k presentedKey) wrong() refusalReason {
	switch k.count {
	case 0:
		return reasonMissing
	case 1:
		return reasonUnknown
	default:
		return reasonSeveral
	}
}

// shownDigestBytes is how much of a key's digest lines show: enough to tell the keys of a site apart.
const shownDigestBytes = 4

// shown returns what lines show of the key, empty where there is not one.
func (k presentedKey) shown() string {
	if k.count != 1 {
		return ""
	}
	return hex.EncodeToString(k.digest[:shownDigestBytes])
}

// caller is who makes a call by its API key; the zero value stands for anyone.
type caller struct {
	// account is nil for anyone.
	account *account.Account
	// keyDigest is that of the key by which the call is served, nil where the route needs none.
	keyDigest []byte
}

// admitted is a request whose route and caller are known.
type admitted struct {
	current *snapshot.Snapshot
	route   *lapisv1.Route
	caller  caller
	// waitedBefore is how long the caller has been waiting since its first try.
	waitedBefore time.Duration
}

// late reports whether the request can no longer be answered within its route's target latency.
func (a *admitted) late() bool {
	target := time.Duration(a.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
	return target > 0 && a.waitedBefore >= target
}

// admit finds the route and the caller of a request. A key that the configuration in force lacks waits
// for a newer one that is known to be on its way, and then both are found anew. The route is returned
// with an error too, nil where there is none. Errors: CallNoRoute, CallUnknownKey,
// CallKeysUnconfirmed.
func (g *Gateway) admit(ctx context.Context, rc *app.RequestContext, current *snapshot.Snapshot) (admitted, error) {
	found := admitted{current: current}
	var err error
	if found.route, err = routeOf(rc, current); err != nil || current.Accounts == nil {
		return found, err
	}
	key := g.keyOf(rc)
	decision := g.decideOnKey(&found, key, false)
	if decision == identity.AwaitNewer || decision == identity.RefuseUnknown {
		found.current = g.newestFor(ctx, found, decision)
		decision, err = g.decideAnew(rc, &found, key)
	}
	if err != nil {
		return found, err
	}
	return found, g.refusalOf(rc, found.route, key, decision)
}

// decideAnew decides on the key of a request whose configuration may be another one by now. Errors:
// CallNoRoute.
func (g *Gateway) decideAnew(rc *app.RequestContext, found *admitted, key presentedKey) (identity.Decision, error) {
	var err error
	if found.route, err = routeOf(rc, found.current); err != nil || found.current.Accounts == nil {
		return identity.ServeAnyone, err
	}
	return g.decideOnKey(found, key, true), nil
}

// refusalOf returns the refusal that a decision is, and counts and logs it; nil for a request that is
// served. Errors: CallUnknownKey, CallKeysUnconfirmed.
func (g *Gateway) refusalOf(rc *app.RequestContext, route *lapisv1.Route, key presentedKey, decision identity.Decision) error {
	code, reason := result.CallKeysUnconfirmed, reasonUnconfirmed
	switch decision {
	case identity.ServeCaller, identity.ServeAnyone:
		return nil
	case identity.RefuseUnknown:
		code, reason = result.CallUnknownKey, key.wrong()
	}
	g.noteRefusedKey(rc, route, key, reason)
	return result.Errorf(code, "API key: %s", reason)
}

// decideOnKey decides on the key of a request and sets its caller.
func (g *Gateway) decideOnKey(found *admitted, key presentedKey, waited bool) identity.Decision {
	public := found.route.GetPublic()
	facts := identity.Facts{Caller: key.findIn(found.current.Accounts), Public: public, Waited: waited}
	// A key that is known needs no look at the currency, which costs a lock, unless keys get too old.
	if facts.Caller == nil || g.config.Identity.Bounds.Revocation > 0 {
		facts.Currency = g.config.Identity.currency()
	}
	decision := identity.Decide(facts, g.config.Identity.Bounds)
	if decision == identity.ServeCaller {
		found.caller.account = facts.Caller
		if !public {
			found.caller.keyDigest = key.digest[:]
		}
	}
	return decision
}

// newestFor returns the configuration that a request with an unknown key is decided by: the one in force,
// which may have come after the first decision, or a newer one that is waited for.
func (g *Gateway) newestFor(ctx context.Context, found admitted, decision identity.Decision) *snapshot.Snapshot {
	if decision != identity.AwaitNewer {
		return g.config.Snapshots.Current()
	}
	defer g.awaitingKeys.Add(-1)
	if g.awaitingKeys.Add(1) > maxAwaitingKeys {
		return g.config.Snapshots.Current()
	}
	target := time.Duration(found.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
	return g.config.Snapshots.AwaitAfter(ctx, found.current, identity.WaitFor(target))
}

// checkKey refuses another attempt at a call whose key was revoked, or became too old, since the call
// was admitted. The daemon beside the instance checks last, right before the call starts. Errors:
// CallUnknownKey, CallKeysUnconfirmed.
func (a *attempter) checkKey() error {
	digest := a.opening.GetKeyDigest()
	if len(digest) == 0 {
		return nil
	}
	if current := a.gateway.config.Snapshots.Current(); current != a.current && !current.Accounts.Holds(digest) {
		a.gateway.metrics.refusedKeys.WithLabelValues(string(reasonRevoked)).Inc()
		return result.Errorf(result.CallUnknownKey, "API key: %s", reasonRevoked)
	}
	decider := &a.gateway.config.Identity
	if decider.Bounds.Revocation > 0 && decider.Bounds.TooOld(decider.currency()) {
		a.gateway.metrics.refusedKeys.WithLabelValues(string(reasonUnconfirmed)).Inc()
		return result.Errorf(result.CallKeysUnconfirmed, "API key: %s", reasonUnconfirmed)
	}
	return nil
}

// Quota bounds the calls of accounts at all daemons together. It is safe for concurrent use.
type Quota interface {
	// Take takes one call out of an account's allowance; a late call gets what calls that can still be
	// in time leave. giveBack returns it and is called once, for
	// a call that did not run. Errors: CallRateLimited with the time at which there is room again,
	// CallLimitUnknown where that cannot be found out.
	Take(ctx context.Context, caller *account.Account, late bool) (giveBack func(), err error)
}

// withinQuota serves a call of an account within its quota; err is that of serve. Errors: those of
// Quota.Take and of serve.
func (g *Gateway) withinQuota(ctx context.Context, found admitted, serve func() error) error {
	if g.config.Quota == nil || !found.caller.account.Limited() {
		return serve()
	}
	giveBack, err := g.config.Quota.Take(ctx, found.caller.account, found.late())
	if err != nil {
		return err
	}
	err = serve()
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		giveBack()
	}
	return err
}
