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

// Identity configures the decisions on API keys. The zero value stands for a configuration that is
// always the newest.
type Identity struct {
	// Freshness returns how up to date the current configuration is; nil if it is always the newest.
	Freshness func() identity.Freshness
	Bounds    identity.Bounds
}

// freshness returns how up to date the current configuration is.
func (i *Identity) freshness() identity.Freshness {
	if i.Freshness == nil {
		return identity.Freshness{}
	}
	return i.Freshness()
}

// maxUnknownKeyWaits is the maximum number of requests with an unknown key that wait for a newer
// configuration, so that a flood of wrong keys uses little memory. Further requests are decided at once,
// by the current configuration.
const maxUnknownKeyWaits = 256

// refusalReason is the reason why a request was refused because of its API key, as used in log lines and
// metrics.
type refusalReason string

// Reasons for refusing a request because of its API key.
const (
	reasonMissing     refusalReason = "missing"
	reasonSeveral     refusalReason = "several"
	reasonUnknown     refusalReason = "unknown"
	reasonUnconfirmed refusalReason = "unconfirmed"
	reasonRevoked     refusalReason = "revoked"
)

// presentedKey is the result of reading the API key from a request.
type presentedKey struct {
	// digest is the digest of the key, valid if count is 1.
	digest account.Digest
	// count is the number of keys in the request. If there are several, all are ignored, since the
	// request does not show which one is meant.
	count int
}

// presentedKeyOf returns the API key that a request contains.
func (g *Gateway) presentedKeyOf(rc *app.RequestContext) presentedKey {
	name := g.config.Envelope.Key
	if name == "" {
		return presentedKey{}
	}
	keys := rc.Request.Header.PeekAll(name)
	if len(keys) != 1 {
		return presentedKey{count: len(keys)}
	}
	// The library does not trim tabs around a value.
	key := bytes.Trim(keys[0], " \t")
	if len(key) == 0 {
		return presentedKey{}
	}
	return presentedKey{digest: account.DigestOf(key), count: 1}
}

// findIn returns the account of the key, or nil if there is none.
func (k presentedKey) findIn(accounts *account.Directory) *account.Account {
	if k.count != 1 {
		return nil
	}
	return accounts.Find(k.digest)
}

// refusalReason returns the reason why the key belongs to no account.
func (k presentedKey) refusalReason() refusalReason {
	switch k.count {
	case 0:
		return reasonMissing
	case 1:
		return reasonUnknown
	default:
		return reasonSeveral
	}
}

// loggedDigestBytes is the number of bytes of a key's digest that log lines contain. They are enough to
// distinguish the keys of a deployment.
const loggedDigestBytes = 4

// loggedDigest returns the start of the key's digest for log lines; empty if the request does not have
// exactly one key.
func (k presentedKey) loggedDigest() string {
	if k.count != 1 {
		return ""
	}
	return hex.EncodeToString(k.digest[:loggedDigestBytes])
}

// caller identifies the caller of a request by its API key; the zero value stands for an anonymous caller.
type caller struct {
	// account is nil for an anonymous caller.
	account *account.Account
	// keyDigest is the digest of the key that authorizes the call, nil if the route needs no key.
	keyDigest []byte
}

// admittedRequest is a request with its route and its caller.
type admittedRequest struct {
	current *snapshot.Snapshot
	route   *lapisv1.Route
	caller  caller
	// priorWait is the time that the caller has been waiting since its first try.
	priorWait time.Duration
}

// pastTargetLatency reports whether the caller has already waited for the route's target latency or
// longer.
func (a *admittedRequest) pastTargetLatency() bool {
	target := time.Duration(a.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
	return target > 0 && a.priorWait >= target
}

// admit finds the route and the caller of a request. If the key is not in the current configuration, a newer
// one may contain it: admit waits for one that is on its way, and then finds both again. With an error, the
// result still contains the route if one matched. Errors: CallNoRoute, CallUnknownKey, CallKeysUnconfirmed.
func (g *Gateway) admit(ctx context.Context, rc *app.RequestContext, current *snapshot.Snapshot) (admittedRequest, error) {
	found := admittedRequest{current: current}
	var err error
	if found.route, err = findRoute(rc, current); err != nil || current.Accounts == nil {
		return found, err
	}
	key := g.presentedKeyOf(rc)
	decision := g.decideOnKey(&found, key, false)
	if decision == identity.AwaitNewer || decision == identity.RefuseUnknown {
		found.current = g.awaitConfiguration(ctx, found, decision)
		decision, err = g.decideAgain(rc, &found, key)
	}
	if err != nil {
		return found, err
	}
	return found, g.keyRefusal(rc, found.route, key, decision)
}

// decideAgain finds the route and decides on the key of a request again, under a configuration that may
// have changed. Errors: CallNoRoute.
func (g *Gateway) decideAgain(rc *app.RequestContext, found *admittedRequest, key presentedKey) (identity.Decision, error) {
	var err error
	if found.route, err = findRoute(rc, found.current); err != nil || found.current.Accounts == nil {
		return identity.ServeAnonymous, err
	}
	return g.decideOnKey(found, key, true), nil
}

// keyRefusal returns the error for a decision that refuses the request, and counts and logs it. It
// returns nil for a decision to serve the request. Errors: CallUnknownKey, CallKeysUnconfirmed.
func (g *Gateway) keyRefusal(rc *app.RequestContext, route *lapisv1.Route, key presentedKey, decision identity.Decision) error {
	code, reason := result.CallKeysUnconfirmed, reasonUnconfirmed
	switch decision {
	case identity.ServeCaller, identity.ServeAnonymous:
		return nil
	case identity.RefuseUnknown:
		code, reason = result.CallUnknownKey, key.refusalReason()
	}
	g.recordRefusedKey(rc, route, key, reason)
	return result.Errorf(code, "API key: %s", reason)
}

// decideOnKey decides on the key of a request and sets the caller of found.
func (g *Gateway) decideOnKey(found *admittedRequest, key presentedKey, waited bool) identity.Decision {
	public := found.route.GetPublic()
	facts := identity.Input{Caller: key.findIn(found.current.Accounts), Public: public, Waited: waited}
	// The freshness is read only if needed, since reading it takes a lock: for an unknown key, or if keys
	// can become too old.
	if facts.Caller == nil || g.config.Identity.Bounds.MaxUnconfirmed > 0 {
		facts.Freshness = g.config.Identity.freshness()
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

// awaitConfiguration returns the configuration for the second decision on an unknown key. For AwaitNewer it
// waits for a newer configuration, unless maxUnknownKeyWaits requests wait already. Otherwise it returns the
// current configuration, which may be newer than that of the first decision.
func (g *Gateway) awaitConfiguration(ctx context.Context, found admittedRequest, decision identity.Decision) *snapshot.Snapshot {
	if decision != identity.AwaitNewer {
		return g.config.Snapshots.Current()
	}
	defer g.unknownKeyWaits.Add(-1)
	if g.unknownKeyWaits.Add(1) > maxUnknownKeyWaits {
		return g.config.Snapshots.Current()
	}
	target := time.Duration(found.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
	return g.config.Snapshots.WaitForNewer(ctx, found.current, identity.UpdateWait(target))
}

// recheckKey returns an error if, since the call was admitted, its key was revoked or the key data became
// too old. It is called before each attempt. The daemon beside the instance makes the last check,
// immediately before the call starts. Errors: CallUnknownKey, CallKeysUnconfirmed.
func (a *attempter) recheckKey() error {
	digest := a.opening.GetKeyDigest()
	if len(digest) == 0 {
		return nil
	}
	if current := a.gateway.config.Snapshots.Current(); current != a.current && !current.Accounts.Authorizes(digest) {
		a.gateway.metrics.refusedKeys.WithLabelValues(string(reasonRevoked)).Inc()
		return result.Errorf(result.CallUnknownKey, "API key: %s", reasonRevoked)
	}
	decider := &a.gateway.config.Identity
	if decider.Bounds.MaxUnconfirmed > 0 && decider.Bounds.TooOld(decider.freshness()) {
		a.gateway.metrics.refusedKeys.WithLabelValues(string(reasonUnconfirmed)).Inc()
		return result.Errorf(result.CallKeysUnconfirmed, "API key: %s", reasonUnconfirmed)
	}
	return nil
}

// Quota limits the calls of accounts across all daemons. It is safe for concurrent use.
type Quota interface {
	// Take counts one call against an account's quota. A late call gets only the part of the quota that calls
	// which can still meet their target latency leave unused. giveBack returns the call to the quota; it is
	// called at most once, for a call that did not run. Errors: CallRateLimited with the time after which the
	// quota has room again, CallLimitUnknown if the quota cannot be determined.
	Take(ctx context.Context, caller *account.Account, late bool) (giveBack func(), err error)
}

// serveWithinQuota calls serve if the account's quota allows the call. Errors: those of Quota.Take and of
// serve.
func (g *Gateway) serveWithinQuota(ctx context.Context, found admittedRequest, serve func() error) error {
	if g.config.Quota == nil || !found.caller.account.Limited() {
		return serve()
	}
	giveBack, err := g.config.Quota.Take(ctx, found.caller.account, found.pastTargetLatency())
	if err != nil {
		return err
	}
	err = serve()
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		giveBack()
	}
	return err
}
