package daemon

import (
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/requestpath/identity"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// keyFreshness reports to the gateway how current the API keys of this daemon are, and logs when calls
// by API key are suspended and resumed. Its methods are safe for concurrent use.
type keyFreshness struct {
	freshness *configsource.Freshness
	bounds    identity.Bounds
	logger    logr.Logger
	// suspended is true while the keys are too old to be served.
	suspended atomic.Bool
}

// identityOf returns the gateway's configuration for API keys and registers its metrics.
func identityOf(config *settings.Daemon, freshness *configsource.Freshness, logger logr.Logger, registry prometheus.Registerer) gateway.Identity {
	keys := &keyFreshness{freshness: freshness, logger: logger, bounds: identity.Bounds{MaxApplyDelay: config.Platform.ApplyBound.Get()}}
	if config.Accounts.StrictRevocation {
		keys.bounds.MaxUnconfirmed = config.Accounts.RevocationBound.Get()
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lapisvane_keys_suspended", Help: "1 while no call is served by an API key, because the daemon could not confirm its configuration for the revocation bound.",
	}, keys.suspendedGauge))
	return gateway.Identity{Freshness: keys.Freshness, Bounds: keys.bounds}
}

// Freshness returns how current the configuration in force is.
func (k *keyFreshness) Freshness() identity.Freshness {
	freshness := k.current()
	tooOld := k.bounds.TooOld(freshness)
	if k.suspended.Load() != tooOld && k.suspended.Swap(tooOld) != tooOld {
		k.logChange(tooOld, freshness)
	}
	return freshness
}

func (k *keyFreshness) current() identity.Freshness {
	return identity.Freshness{SinceConfirmed: boottime.Since(k.freshness.Confirmed()), Behind: k.freshness.Behind()}
}

func (k *keyFreshness) logChange(tooOld bool, freshness identity.Freshness) {
	if tooOld {
		k.logger.Info("keys.suspended", "unconfirmed_ms", freshness.SinceConfirmed.Milliseconds(), "bound_ms", k.bounds.MaxUnconfirmed.Milliseconds())
		return
	}
	k.logger.Info("keys.resumed", "unconfirmed_ms", freshness.SinceConfirmed.Milliseconds())
}

func (k *keyFreshness) suspendedGauge() float64 {
	if k.bounds.TooOld(k.current()) {
		return 1
	}
	return 0
}
