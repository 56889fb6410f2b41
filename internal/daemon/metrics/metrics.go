// Package metrics exposes a daemon's state to Prometheus. It owns the names and help texts of the
// metrics and the HTTP server for GET /metrics. It stores no values: each scrape reads them from the
// components that count them, so those reads must be safe for concurrent use. The names are documented
// in docs/OPERATIONS.md and used by dashboards.
package metrics

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Sources holds the components of a daemon from which metrics are read.
type Sources struct {
	Counters *wire.Counters
	Origin   *origin.Origin
	Calls    *callmux.Client
	// Suspects returns the number of requests that are suspected of crashing instances, and the number
	// of those that are quarantined.
	Suspects func() (suspects, quarantined int)
}

// Register adds the daemon's metrics to registry.
func Register(registry *prometheus.Registry, sources Sources) {
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge(registry, "lapisvane_call_links", "Open connections to other daemons for calls.",
		func() float64 { return float64(sources.Calls.Links()) })
	gauge(registry, "lapisvane_requests_suspected", "Requests under which instances ended, by what they ask for.", func() float64 {
		suspects, _ := sources.Suspects()
		return float64(suspects)
	})
	gauge(registry, "lapisvane_requests_quarantined", "Those of them that do not reach instances any more.", func() float64 {
		_, quarantined := sources.Suspects()
		return float64(quarantined)
	})
	counter(registry, "lapisvane_panics_contained_total", "Panics that ended one request, connection or configuration instead of the process.",
		func() float64 { return float64(containment.Contained()) })
	counter(registry, "lapisvane_control_bytes_in_total", "Bytes of control received from daemons.",
		func() float64 { return float64(sources.Counters.BytesIn.Load()) })
	counter(registry, "lapisvane_control_bytes_out_total", "Bytes of control sent to daemons.",
		func() float64 { return float64(sources.Counters.BytesOut.Load()) })
	counter(registry, "lapisvane_origin_handed_over_total", "Calls handed to back ends beside the daemon.",
		func() float64 { return float64(sources.Origin.Counts().HandedOver) })
	counter(registry, "lapisvane_origin_refused_total", "Calls refused before they ran.",
		func() float64 { return float64(sources.Origin.Counts().Refused) })
	counter(registry, "lapisvane_origin_duplicates_total", "Copies of calls that were kept from running.",
		func() float64 { return float64(sources.Origin.Counts().Duplicates) })
	counter(registry, "lapisvane_origin_unknown_total", "Calls handed over whose answer was lost.",
		func() float64 { return float64(sources.Origin.Counts().Interrupted) })
}

// registerStore adds the metrics of the object API client.
func registerStore(registry *prometheus.Registry, store *objectapi.Client) {
	counter(registry, "lapisvane_source_requests_total", "Requests sent to the platform.",
		func() float64 { return float64(store.Requests.Load()) })
	counter(registry, "lapisvane_source_bytes_in_total", "Bytes received from the platform.",
		func() float64 { return float64(store.BytesIn.Load()) })
}

// RegisterTree adds the metrics of a daemon in the distribution tree to registry.
func RegisterTree(registry *prometheus.Registry, node *tree.Node, store *objectapi.Client) {
	registerStore(registry, store)
	gauge(registry, "lapisvane_revision_in_force", "Revision in force, 0 before the first.",
		func() float64 { return float64(node.Info().InForce) })
	gauge(registry, "lapisvane_revision_held", "Newest revision held.",
		func() float64 { return float64(node.Info().Revision) })
	gauge(registry, "lapisvane_floor_known", "1 once the daemon knows which version it may apply.",
		func() float64 { return boolValue(node.Info().FloorKnown) })
	gauge(registry, "lapisvane_tree_rooted", "1 while there is a way to a reader.",
		func() float64 { return boolValue(node.Info().HasReaderPath) })
	gauge(registry, "lapisvane_tree_children", "Children in the distribution tree.",
		func() float64 { return float64(node.Info().Children) })
	gauge(registry, "lapisvane_tree_depth", "Levels from the reader, 1 for a reader.",
		func() float64 { return float64(node.Info().Depth) })
	gauge(registry, "lapisvane_reader", "1 while the daemon holds a reader seat.",
		func() float64 { return boolValue(node.Info().Role == tree.RoleReader) })
	gauge(registry, "lapisvane_reader_suspended", "1 while the seat's lease could not be renewed.",
		func() float64 { return boolValue(node.Info().SeatState == "suspended") })
	gauge(registry, "lapisvane_endpoints", "Back-end instances known.",
		func() float64 { return float64(node.Info().Endpoints) })
	counter(registry, "lapisvane_tree_joins_total", "Parents that accepted this daemon.",
		func() float64 { return float64(node.Info().Joins) })
	counter(registry, "lapisvane_tree_joins_served_total", "Children admitted.",
		func() float64 { return float64(node.Info().JoinsServed) })
	counter(registry, "lapisvane_tree_joins_refused_total", "Children turned away or redirected.",
		func() float64 { return float64(node.Info().JoinsRefused) })
	counter(registry, "lapisvane_tree_resyncs_total", "Versions refused and asked for again in full.",
		func() float64 { return float64(node.Info().Resyncs) })
}

func gauge(registry *prometheus.Registry, name, help string, value func() float64) {
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

func counter(registry *prometheus.Registry, name, help string, value func() float64) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// Limits of the server for metrics.
const (
	// maxHeadBytes is the maximum size of a request's head. The library adds 4 KiB; its default is 1 MB.
	maxHeadBytes = 4 << 10
	// readTimeout bounds the time for a request, idleTimeout the time between two.
	readTimeout = 5 * time.Second
	idleTimeout = 90 * time.Second
)

// Serve serves GET /metrics on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, registry *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(ownFirst{registry}, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, MaxHeaderBytes: maxHeadBytes, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(listener)
}

// ownPrefix is the prefix of lapisvane's own metrics.
const ownPrefix = "lapisvane_"

// ownFirst is a Gatherer that sorts lapisvane's own metrics before those of the Go runtime and the
// process. The latter fill 4,000 bytes, so a collector that keeps only the first few kilobytes would
// otherwise get none of lapisvane's.
type ownFirst struct{ gatherer prometheus.Gatherer }

// Gather implements prometheus.Gatherer.
func (o ownFirst) Gather() ([]*dto.MetricFamily, error) {
	families, err := o.gatherer.Gather()
	own := func(family *dto.MetricFamily) int {
		if strings.HasPrefix(family.GetName(), ownPrefix) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(families, func(a, b *dto.MetricFamily) int { return own(a) - own(b) })
	return families, err
}
