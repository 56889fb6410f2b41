package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Histogram buckets of the time until an answer's head, in seconds: 16 buckets from 0.5 ms to 16 s, each
// twice the previous one.
const (
	firstLatencyBucket  = 0.0005
	latencyBucketFactor = 2
	latencyBuckets      = 16
)

// gatewayMetrics holds the metrics of the gateway; docs/OPERATIONS.md describes which ones to watch.
type gatewayMetrics struct {
	calls       *prometheus.CounterVec
	constrained *prometheus.CounterVec
	retries     prometheus.Counter
	latency     prometheus.Histogram
	unserved    prometheus.Counter
	// connectionLimit counts the connections that were closed because of Config.MaxConnections.
	connectionLimit prometheus.Counter
	refusedKeys     *prometheus.CounterVec
	// versions counts the attempts at services with a roll-out.
	versions *prometheus.CounterVec
}

// newMetrics returns the metrics and registers them if registry is not nil.
func newMetrics(registry prometheus.Registerer) gatewayMetrics {
	metrics := gatewayMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lapisvane_calls_total", Help: "Calls by route and numbered result.",
		}, []string{"route", "result"}),
		constrained: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lapisvane_calls_constrained_total", Help: "Calls refused because a constraint left no instance, by constraint.",
		}, []string{"constraint"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lapisvane_call_retries_total", Help: "Attempts after the first of a call.",
		}),
		versions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lapisvane_rollout_attempts_total", Help: "Attempts at services with a roll-out, by service, version (ordered, other) and end.",
		}, []string{"service", "version", "end"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lapisvane_call_seconds", Help: "Time from a request's head to its answer's head.",
			Buckets: prometheus.ExponentialBuckets(firstLatencyBucket, latencyBucketFactor, latencyBuckets),
		}),
		unserved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lapisvane_callers_unserved_total", Help: "Callers' connections that the daemon ended although it had read a request that it did not answer.",
		}),
		connectionLimit: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lapisvane_callers_over_limit_total", Help: "Callers' connections that the daemon closed because it had as many as it may have.",
		}),
		refusedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lapisvane_keys_refused_total", Help: "Requests refused by their API key, by reason.",
		}, []string{"reason"}),
	}
	if registry != nil {
		registry.MustRegister(metrics.calls, metrics.constrained, metrics.retries, metrics.latency, metrics.unserved, metrics.connectionLimit, metrics.refusedKeys, metrics.versions)
	}
	return metrics
}
