package tree_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// convergenceTimeout limits the time that a cluster may take to reach an expected state. It is
// generous, because it only ends tests that fail.
const convergenceTimeout = 40 * time.Second

// recorder records the versions that a node put in force.
type recorder struct {
	mutex   sync.Mutex
	applied []tree.Applied
}

func (r *recorder) Apply(applied tree.Applied) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.applied = append(r.applied, applied)
}

func (r *recorder) Endpoints(string, []*lapisv1.Endpoint) {}

func (r *recorder) history() []tree.Applied {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]tree.Applied(nil), r.applied...)
}

// member is one running node of a test cluster.
type member struct {
	node     *tree.Node
	recorder *recorder
	cancel   context.CancelFunc
	done     chan struct{}
	address  string
	zone     string
	network  *faultyNetwork
}

func (m *member) kill() {
	m.cancel()
	<-m.done
}

// cluster is a platform stub with the nodes that use it.
type cluster struct {
	t        *testing.T
	stub     *objectapistub.Server
	store    *objectapi.Client
	tunables tunables.Distribution
	members  map[string]*member
	// killed holds the members that were killed; checkHistories still checks their histories.
	killed  []*member
	started uint64
	seeds   []string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	stub, err := objectapistub.Start(objectapistub.Options{Address: "127.0.0.1:0", Seed: 1})
	assert.NilError(t, err)
	tuned := tunables.Convergence()
	tuned.Fanout = 3
	tuned.FirstSourceQueryMaxDelay = tunables.Duration(100 * time.Millisecond)
	tuned.SeatLease = tunables.Duration(2 * time.Second)
	tuned.StatusInterval = tunables.Duration(200 * time.Millisecond)
	c := &cluster{
		t: t, stub: stub, tunables: tuned, members: map[string]*member{},
		store: objectapi.NewClient([]string{stub.Address()}, "", nil),
	}
	t.Cleanup(func() {
		for _, m := range c.members {
			m.cancel()
		}
		for _, m := range c.members {
			m.network.pause(false)
			<-m.done
		}
		c.store.Close()
		stub.Close()
	})
	return c
}

// start runs a node. A node with the name of a killed one replaces it as a new process without
// state.
func (c *cluster) start(name, zone string, services ...string) *member {
	c.t.Helper()
	return c.startWith(name, zone, false, services...)
}

// zoneOf distributes the members over two zones.
func (c *cluster) zoneOf(index int) string { return fmt.Sprintf("z%d", index%2) }

// serveFake accepts child connections and passes them to handler.
func (c *cluster) serveFake(handler peer.Handler) string {
	c.t.Helper()
	listener, err := wire.TCP{}.Listen("127.0.0.1:0")
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	server := &peer.Server{Node: "fake", Logger: logr.Discard(), Handlers: map[lapisv1.Hello_Purpose]peer.Handler{
		lapisv1.Hello_PURPOSE_CHILD: handler,
	}}
	go server.Serve(ctx, listener)
	return listener.Addr().String()
}

func (c *cluster) startWith(name, zone string, skipFloor bool, services ...string) *member {
	c.t.Helper()
	network := &faultyNetwork{paused: &atomic.Bool{}}
	store := objectapi.NewClient([]string{c.stub.Address()}, "", network.dialPlatform)
	c.t.Cleanup(store.Close)
	listener, err := network.Listen("127.0.0.1:0")
	assert.NilError(c.t, err)
	c.started++
	m := &member{recorder: &recorder{}, done: make(chan struct{}), address: listener.Addr().String(), zone: zone, network: network}
	counters := &wire.Counters{}
	m.node = tree.New(tree.Config{
		Node: name, Incarnation: c.started, Zone: zone, Region: "r", Address: m.address,
		Interest: holdings.NewInterest(services...), Tunables: c.tunables, Network: network,
		Store: store, Counters: counters, Random: rand.New(rand.NewPCG(c.started, 7)),
		Logger: logr.Discard(), Observer: m.recorder, Seeds: c.seeds,
	})
	if skipFloor {
		m.node.SkipFloor()
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	server := &peer.Server{Node: name, Logger: logr.Discard(), Counters: counters, Handlers: map[lapisv1.Hello_Purpose]peer.Handler{
		lapisv1.Hello_PURPOSE_CHILD:  m.node.ServeChild,
		lapisv1.Hello_PURPOSE_READER: m.node.ServeReader,
	}}
	var running sync.WaitGroup
	running.Go(func() { server.Serve(ctx, listener) })
	running.Go(func() { m.node.Run(ctx) })
	go func() {
		running.Wait()
		close(m.done)
	}()
	c.stub.SetMachine(objectapi.Machine{Node: name, Address: m.address, Zone: zone, State: objectapi.MachineLive})
	c.members[name] = m
	return m
}

// accept proposes and accepts changes as the next revision, and returns its number.
func (c *cluster) accept(operation string, changes ...*lapisv1.Change) uint64 {
	c.t.Helper()
	log := changelog.New(c.store, time.Now)
	state, err := log.Refresh(context.Background())
	assert.NilError(c.t, err)
	number, err := log.Accept(context.Background(), &lapisv1.Proposal{
		OperationId: operation, Author: "test", BaseRevision: state.Revision, Changes: changes,
	})
	assert.NilError(c.t, err)
	return number
}

// service returns the changes that create a pool with one route.
func service(name string, slots uint32) []*lapisv1.Change {
	file := meshconfig.File{
		Pools:  []meshconfig.PoolFile{{Name: name, Group: "g", Slots: slots, ConnectionLimit: 130}},
		Routes: []meshconfig.RouteFile{{Name: name, Group: "g", Pool: name, PathPrefix: "/" + name}},
	}
	changes, _ := file.Changes()
	return changes
}

// waitInForce waits until every member has revision in force.
func (c *cluster) waitInForce(revision uint64) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for name, m := range c.members {
			if info := m.node.Info(); info.InForce < revision {
				return poll.Continue("%s has %d in force, wanted %d (%+v)", name, info.InForce, revision, info)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(20*time.Millisecond))
}

// checkHistories fails if a process applied an older revision after a newer one, or if a
// replacement process of a machine started below the last revision of its predecessor.
func (c *cluster) checkHistories() {
	c.t.Helper()
	floors := map[string]uint64{}
	for _, m := range c.killed {
		if history := m.recorder.history(); len(history) > 0 {
			floors[m.node.Info().Node] = history[len(history)-1].Revision
		}
	}
	for _, m := range append(append([]*member{}, c.killed...), membersOf(c.members)...) {
		last := uint64(0)
		for _, applied := range m.recorder.history() {
			assert.Assert(c.t, applied.Revision > last, "%s applied %d after %d", m.node.Info().Node, applied.Revision, last)
			last = applied.Revision
		}
	}
	for name, m := range c.members {
		if history := m.recorder.history(); len(history) > 0 {
			assert.Assert(c.t, history[0].Revision >= floors[name], "machine %s applied an older revision after its replacement", name)
		}
	}
}

func membersOf(members map[string]*member) []*member {
	var list []*member
	for _, m := range members {
		list = append(list, m)
	}
	return list
}

// readers returns the members that hold a seat.
func (c *cluster) readers() []string {
	var names []string
	for name, m := range c.members {
		if m.node.Info().Role == tree.RoleReader {
			names = append(names, name)
		}
	}
	return names
}

// readersOf returns the members of a zone that hold a seat.
func (c *cluster) readersOf(zone string) []string {
	var names []string
	for _, name := range c.readers() {
		if c.members[name].zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// killAndRemove kills members and removes their machines from the machine list.
func (c *cluster) killAndRemove(names ...string) {
	for _, name := range names {
		c.members[name].kill()
		c.stub.RemoveMachine(name)
		c.killed = append(c.killed, c.members[name])
		delete(c.members, name)
	}
}
