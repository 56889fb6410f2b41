package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
)

// accountAllowancePrefix is the prefix of allowance names that belong to accounts.
const accountAllowancePrefix = "account/"

// rateLimits enforces the rate limits of accounts across all daemons.
type rateLimits struct {
	snapshots *snapshot.Store
	// service is set by newAllowances before calls are served.
	service *allowance.Service
}

// newRateLimits returns the enforcement of the accounts' rate limits, or nil if the settings configure
// none.
func newRateLimits(values settings.RateLimits, snapshots *snapshot.Store) *rateLimits {
	if values == (settings.RateLimits{}) {
		return nil
	}
	return &rateLimits{snapshots: snapshots}
}

// quota returns the gateway.Quota, or a nil interface if no rate limits are configured.
func (r *rateLimits) quota() gateway.Quota {
	if r == nil {
		return nil
	}
	return r
}

// Take implements gateway.Quota.
func (r *rateLimits) Take(ctx context.Context, caller *account.Account, late bool) (giveBack func(), err error) {
	limit := allowance.Limit{Rate: caller.Rate, Burst: caller.Burst}
	return r.service.Take(ctx, accountAllowancePrefix+caller.Name, limit, r.snapshots.Current().Revision, late)
}

func allowanceBounds(values settings.RateLimits) allowance.Bounds {
	return allowance.Bounds{Window: time.Duration(values.Window), Overshoot: values.Overshoot, Slack: values.Slack}
}

// newAllowances returns the service that enforces rate limits by messages over the fleet's links, or
// nil if no rate limits are configured.
func (p *platformDistribution) newAllowances(values *settings.Daemon) *allowance.Service {
	limits := p.path.rateLimits
	if limits == nil {
		return nil
	}
	limits.service = allowance.New(allowance.Config{
		Self: values.Node, Bounds: allowanceBounds(values.RateLimits), Random: rand.Float64, Logger: p.path.logger,
		Send: func(message allowance.Message) { p.fleet.SendAllowance(message) },
	})
	return limits.service
}
