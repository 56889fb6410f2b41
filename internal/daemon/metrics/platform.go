package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Platform holds the components of a daemon on a platform from which metrics are read.
type Platform struct {
	Fleet    *fleet.Fleet
	Follower *configsource.Follower
	Origin   *origin.Origin
	// InForce returns the configuration revision in force, 0 before the first, and the time at which it
	// was applied.
	InForce func() (revision uint64, since time.Time)
	// Ready reports whether the daemon is ready for callers.
	Ready func() bool
	// ReadyEndpoints returns the number of known ready instances of each service.
	ReadyEndpoints func() map[string]int
	// Accounts returns the accounts in force, or nil if callers need none.
	Accounts func() *account.Directory
	// RefusedEntries returns the numbers of invalid store entries and heartbeats.
	RefusedEntries func() map[platformapi.RefusedEntry]int64
	// Orders holds the operators' orders in force.
	Orders *orders.Current
	// Confirmed returns the time at which the revisions in force were last confirmed to be the newest,
	// or zero if they were not yet.
	Confirmed func() time.Time
}

// RegisterPlatform adds the metrics of a daemon on a platform to registry.
func RegisterPlatform(registry *prometheus.Registry, sources Platform) {
	gauge(registry, "lapisvane_revision_in_force", "Revision in force, 0 before the first.", func() float64 {
		revision, _ := sources.InForce()
		return float64(revision)
	})
	gauge(registry, "lapisvane_revision_age_seconds", "Time since the revision came in force.", func() float64 {
		revision, since := sources.InForce()
		if revision == 0 {
			return 0
		}
		return time.Since(since).Seconds()
	})
	gauge(registry, "lapisvane_ready", "1 while callers may be sent here.", func() float64 { return boolValue(sources.Ready()) })
	gauge(registry, "lapisvane_members_known", "Other daemons known.", func() float64 { return float64(sources.Fleet.KnownMembers()) })
	gauge(registry, "lapisvane_members_connected", "Daemons that calls can be sent to.",
		func() float64 { return float64(sources.Fleet.ConnectedMembers()) })
	counter(registry, "lapisvane_source_questions_total", "Questions to the configuration source.",
		func() float64 { return float64(sources.Follower.ConfigurationRequests.Load()) })
	counter(registry, "lapisvane_source_failures_total", "Questions to the configuration source that failed.",
		func() float64 { return float64(sources.Follower.FailedPolls.Load()) })
	registry.MustRegister(readyEndpoints{sources.ReadyEndpoints}, refusedEntries{sources.RefusedEntries})
	registerOrders(registry, sources)
	gauge(registry, "lapisvane_accounts", "Accounts in force.", func() float64 { return float64(len(sources.Accounts().Accounts())) })
	gauge(registry, "lapisvane_account_keys", "API keys in force, of all accounts.", func() float64 { return float64(sources.Accounts().Keys()) })
	occupancy := func(read func(admission.Occupancy) int) func() float64 {
		return func() float64 {
			total := 0
			for _, instance := range sources.Origin.Instances() {
				total += read(instance.Occupancy())
			}
			return float64(total)
		}
	}
	gauge(registry, "lapisvane_origin_running", "Calls that hold a slot of the instances beside the daemon.",
		occupancy(func(o admission.Occupancy) int { return o.Running }))
	gauge(registry, "lapisvane_origin_waiting", "Calls that wait for a slot.",
		occupancy(func(o admission.Occupancy) int { return o.Waiting }))
	gauge(registry, "lapisvane_origin_slots", "Calls that the instances may work on at once.",
		occupancy(func(o admission.Occupancy) int { return o.Limit }))
	registerCold(registry, sources.Origin)
	registerLimits(registry, sources.Origin)
	gauge(registry, "lapisvane_origin_withdrawn", "Instances that left and are remembered.",
		func() float64 { return float64(len(sources.Origin.Withdrawn())) })
}

// endpointsReady describes the metric collected by readyEndpoints.
var endpointsReady = prometheus.NewDesc("lapisvane_endpoints_ready", "Ready instances known, by service.", []string{"service"}, nil)

// readyEndpoints collects the number of known ready instances of each service.
type readyEndpoints struct{ read func() map[string]int }

// Describe implements prometheus.Collector.
func (r readyEndpoints) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- endpointsReady
}

// Collect implements prometheus.Collector.
func (r readyEndpoints) Collect(collected chan<- prometheus.Metric) {
	for service, count := range r.read() {
		collected <- prometheus.MustNewConstMetric(endpointsReady, prometheus.GaugeValue, float64(count), service)
	}
}

// entriesRefused describes the metric collected by refusedEntries.
var entriesRefused = prometheus.NewDesc("lapisvane_entries_refused_total", "Entries of the store, heartbeats and fields of answers that could not be used, by kind and reason.", []string{"kind", "reason"}, nil)

// refusedEntries collects the numbers of invalid store entries and heartbeats.
type refusedEntries struct {
	read func() map[platformapi.RefusedEntry]int64
}

// Describe implements prometheus.Collector.
func (r refusedEntries) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- entriesRefused
}

// Collect implements prometheus.Collector.
func (r refusedEntries) Collect(collected chan<- prometheus.Metric) {
	for entry, count := range r.read() {
		collected <- prometheus.MustNewConstMetric(entriesRefused, prometheus.CounterValue, float64(count), entry.Kind, entry.Reason)
	}
}

// registerOrders adds the metrics of the operators' orders.
func registerOrders(registry *prometheus.Registry, sources Platform) {
	gauge(registry, "lapisvane_orders_revision", "Revision of the operators' orders in force, 0 before the first.",
		func() float64 { return float64(sources.Orders.Load().Revision()) })
	gauge(registry, "lapisvane_orders_evacuated_zones", "Zones whose instances get no calls.",
		func() float64 { return float64(len(sources.Orders.Load().Zones())) })
	gauge(registry, "lapisvane_confirmation_age_seconds", "Time since what is in force was confirmed to be the newest, -1 before the first time.",
		func() float64 {
			confirmed := sources.Confirmed()
			if confirmed.IsZero() {
				return -1
			}
			return boottime.Since(confirmed).Seconds()
		})
	counter(registry, "lapisvane_source_orders_questions_total", "Questions to the source for the operators' orders.",
		func() float64 { return float64(sources.Follower.OrderRequests.Load()) })
}

// registerCold adds the metrics of call admission to cold instances.
func registerCold(registry *prometheus.Registry, instances *origin.Origin) {
	sum := func(read func(admission.PaceUse) float64) func() float64 {
		return func() float64 {
			total := 0.0
			for _, instance := range instances.Instances() {
				total += read(instance.PaceUse())
			}
			return total
		}
	}
	gauge(registry, "lapisvane_origin_cold_rate", "Calls a second that the cold instances beside the daemon are admitted.",
		sum(func(use admission.PaceUse) float64 { return use.PerSecond }))
	gauge(registry, "lapisvane_origin_cold_tokens", "Calls that the cold instances could be admitted at once.",
		sum(func(use admission.PaceUse) float64 { return use.Tokens }))
	gauge(registry, "lapisvane_origin_cold_admitted", "Calls that the present instances were admitted while cold.",
		sum(func(use admission.PaceUse) float64 { return float64(use.Admitted) }))
	gauge(registry, "lapisvane_origin_cold_refused", "Calls that the present instances were refused because they were cold.",
		sum(func(use admission.PaceUse) float64 { return float64(use.Refused) }))
}

// registerLimits adds the metrics of the rate limits that instances state.
func registerLimits(registry *prometheus.Registry, instances *origin.Origin) {
	sum := func(read func(origin.LimitUse) float64) func() float64 {
		return func() float64 {
			total := 0.0
			for _, instance := range instances.Instances() {
				total += read(instance.LimitUse())
			}
			return total
		}
	}
	gauge(registry, "lapisvane_origin_limit_rate", "Calls a second that the instances beside the daemon state as their limit, 0 without one.",
		sum(func(use origin.LimitUse) float64 { return use.PerSecond }))
	gauge(registry, "lapisvane_origin_limit_tokens", "Calls that instances with a stated limit could be sent at once.",
		sum(func(use origin.LimitUse) float64 { return use.Tokens }))
	gauge(registry, "lapisvane_origin_limit_refused", "Calls that the present instances were refused because of the limit that they stated.",
		sum(func(use origin.LimitUse) float64 { return float64(use.Refused) }))
	gauge(registry, "lapisvane_origin_limit_sent", "Calls sent to the present instances under the latest limit that they stated.",
		sum(func(use origin.LimitUse) float64 { return float64(use.Sent) }))
	gauge(registry, "lapisvane_origin_limit_repeats", "Repeats among the calls sent to the present instances under that limit.",
		sum(func(use origin.LimitUse) float64 { return float64(use.Repeats) }))
}
