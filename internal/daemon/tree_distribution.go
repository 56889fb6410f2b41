package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/metrics"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/operators/operator"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// refusalTime is how long a stopping daemon continues to refuse new calls, while other daemons learn
// that it is stopping. It must be above the endpoint debounce of a hop of the tree.
const refusalTime = 500 * time.Millisecond

// treeDistribution implements distribution by a node of the distribution tree. It also serves the
// operators' interface to lapisvane's own object API.
type treeDistribution struct {
	path  *requestPath
	node  *tree.Node
	store *objectapi.Client
	// announcing serializes announcements of the local instances.
	announcing sync.Mutex
}

func newTreeDistribution(d *Daemon, store *objectapi.Client, network wire.Network) *treeDistribution {
	values := d.settings.Load()
	services := append([]string{meshconfig.AccountsService}, values.Services...)
	for _, backend := range values.Backends {
		services = append(services, backend.Service)
	}
	t := &treeDistribution{path: d.path, store: store}
	t.node = tree.New(tree.Config{
		Node: values.Node, Incarnation: d.incarnation, Zone: values.Zone, Region: values.Region,
		Address: d.listeners.peer.Addr().String(), Seeds: values.Seeds,
		Interest: holdings.NewInterest(services...), Tunables: values.Tunables(),
		Network: network, Store: store, Counters: d.counters,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger: d.logger, Observer: t, NoSeat: values.NoSeat,
	})
	return t
}

// Run implements distribution.
func (t *treeDistribution) Run(ctx context.Context, listeners listeners) {
	var running sync.WaitGroup
	running.Go(func() { t.node.Run(ctx) })
	if listeners.operator != nil {
		api := operator.New(operator.Config{Store: t.store, Logger: t.path.logger, Endpoints: t.node})
		running.Go(func() { api.Serve(ctx, listeners.operator) })
	}
	running.Wait()
}

// AnnounceEndpoints implements distribution.
func (t *treeDistribution) AnnounceEndpoints() {
	t.announcing.Lock()
	defer t.announcing.Unlock()
	t.node.SetLocalEndpoints(t.path.origin.Advertised())
}

// Apply implements tree.Observer: it puts a configuration version in force.
func (t *treeDistribution) Apply(applied tree.Applied) {
	if err := t.path.snapshots.Replace(applied.Revision, applied.AcceptedUnixMillis, applied.Bundles); err != nil {
		t.path.logger.Error(err, "snapshot.refused", "revision", applied.Revision)
		return
	}
	t.path.origin.Configure(t.path.snapshots.Current())
	t.path.logger.V(1).Info("snapshot.in_force", "revision", applied.Revision, "services", len(applied.Bundles))
}

// Endpoints implements tree.Observer.
func (t *treeDistribution) Endpoints(service string, endpoints []*lapisv1.Endpoint) {
	t.path.balancer.Update(service, endpoints)
	t.path.origin.ApplyEndpointStates(service, endpoints, t.path.settings.Load().Node)
}

// EndpointsOf implements distribution.
func (t *treeDistribution) EndpointsOf(service string) []*lapisv1.Endpoint {
	return t.node.Endpoints(service)
}

// Handlers implements distribution.
func (t *treeDistribution) Handlers() map[lapisv1.Hello_Purpose]peer.Handler {
	return map[lapisv1.Hello_Purpose]peer.Handler{
		lapisv1.Hello_PURPOSE_CHILD:  t.node.ServeChild,
		lapisv1.Hello_PURPOSE_READER: t.node.ServeReader,
	}
}

// AcceptedCalls implements distribution. The tree uses separate connections.
func (t *treeDistribution) AcceptedCalls() func(*lapisv1.Hello, callmux.Link) callmux.Control {
	return nil
}

// SpreadSuspects implements distribution. In a tree each daemon counts crashes separately.
func (t *treeDistribution) SpreadSuspects([]quarantine.Record, string) {}

// Resumed implements distribution. It does nothing, since the tree measures leases and silence
// timeouts by package boottime, which includes suspensions.
func (t *treeDistribution) Resumed() {}

// Drain implements distribution. New calls are refused, children are handed over to other parents, and
// the calls in flight finish.
func (t *treeDistribution) Drain(force <-chan struct{}) (cut int64) {
	t.path.gateway.Stop()
	t.path.origin.Stop()
	t.AnnounceEndpoints()
	t.node.Drain()
	limit := time.NewTimer(t.path.settings.Load().StopLimit.Get())
	defer limit.Stop()
	minimum := time.NewTimer(refusalTime)
	defer minimum.Stop()
	minimumOver := false
	poll := time.NewTicker(inFlightPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-force:
			return t.path.forceStop()
		case <-limit.C:
			return t.path.endCalls(t.path.stopLimitCause())
		case <-minimum.C:
			minimumOver = true
		case <-poll.C:
			if minimumOver && t.path.drained() {
				return 0
			}
		}
	}
}

// RegisterMetrics implements distribution.
func (t *treeDistribution) RegisterMetrics(registry *prometheus.Registry) {
	metrics.RegisterTree(registry, t.node, t.store)
}

// Close implements distribution.
func (t *treeDistribution) Close() { t.store.Close() }
