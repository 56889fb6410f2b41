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

// leaveNotice is how long a stopping daemon goes on answering new calls with a refusal,
// while other daemons learn that it is stopping; above the endpoint debounce
// of each hop of the tree.
const leaveNotice = 500 * time.Millisecond

// treeDistribution is a daemon's part in the distribution tree, with the operators'
// interface to lapisvane's own object API.
type treeDistribution struct {
	path  *requestPath
	node  *tree.Node
	store *objectapi.Client
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

// SetLocalEndpoints implements distribution.
func (t *treeDistribution) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	t.node.SetLocalEndpoints(endpoints)
}

// Apply implements tree.Observer: it puts a version in force.
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
	t.path.origin.FollowMachineList(service, endpoints, t.path.settings.Load().Node)
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

// AcceptedCalls implements distribution: the tree has connections of its own.
func (t *treeDistribution) AcceptedCalls() func(*lapisv1.Hello, callmux.Link) callmux.Control {
	return nil
}

// SpreadSuspects implements distribution: each daemon of a tree counts crashes for itself.
func (t *treeDistribution) SpreadSuspects([]quarantine.Record, string) {}

// Resumed implements distribution: the tree's leases and silences are measured by the time
// since boot, so nothing has to be done.
func (t *treeDistribution) Resumed() {}

// Drain implements distribution: new calls are refused, children are handed over, and the
// calls in flight finish.
func (t *treeDistribution) Drain(force <-chan struct{}) (cut int64) {
	t.path.gateway.Stop()
	t.path.origin.Stop()
	t.SetLocalEndpoints(t.path.origin.Advertised())
	t.node.Drain()
	limit := time.NewTimer(t.path.settings.Load().StopLimit.Get())
	defer limit.Stop()
	notice := time.NewTimer(leaveNotice)
	defer notice.Stop()
	noticed := false
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	for {
		select {
		case <-force:
			return t.path.endByForce()
		case <-limit.C:
			return t.path.endCalls(t.path.stopLimitCause())
		case <-notice.C:
			noticed = true
		case <-poll.C:
			if noticed && t.path.settled() {
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
