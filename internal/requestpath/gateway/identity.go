package gateway

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// identify returns the account that a request's API key belongs to, nil where callers need none:
// the configuration has no accounts, or the route is public and the key belongs to none. Errors:
// CallUnknownKey.
func (g *Gateway) identify(rc *app.RequestContext, current *snapshot.Snapshot, route *lapisv1.Route) (*account.Account, error) {
	if current.Accounts == nil {
		return nil, nil
	}
	caller := current.Accounts.Find(g.keyOf(rc))
	if caller == nil && !route.GetPublic() {
		return nil, result.Errorf(result.CallUnknownKey, "the key belongs to no account")
	}
	return caller, nil
}

// keyOf returns the API key that a request presents, empty for none. A request with several
// presents none, since it does not show which one counts.
func (g *Gateway) keyOf(rc *app.RequestContext) string {
	name := g.config.Envelope.Key
	if name == "" {
		return ""
	}
	keys := rc.Request.Header.PeekAll(name)
	if len(keys) != 1 {
		return ""
	}
	return string(keys[0])
}

// Quota bounds the calls of accounts at all daemons together. It is safe for concurrent use.
type Quota interface {
	// Take takes one call out of an account's allowance; giveBack returns it and is called once, for
	// a call that did not run. Errors: CallRateLimited with the time at which there is room again.
	Take(ctx context.Context, caller *account.Account) (giveBack func(), err error)
}

// withinQuota serves a call of an account within its quota; err is that of serve. Errors: those of
// Quota.Take and of serve.
func (g *Gateway) withinQuota(ctx context.Context, caller *account.Account, serve func() error) error {
	if g.config.Quota == nil || !caller.Limited() {
		return serve()
	}
	giveBack, err := g.config.Quota.Take(ctx, caller)
	if err != nil {
		return err
	}
	err = serve()
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		giveBack()
	}
	return err
}
