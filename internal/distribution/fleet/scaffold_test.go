package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	accept "github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// noInstances refuses all calls.
type noInstances struct{}

func (noInstances) Handle(context.Context, *callapi.Call) (*callapi.Answer, error) {
	return nil, result.Errorf(result.CallNotRunUnknownHere, "no instance")
}

func (noInstances) Fence(string) bool { return false }

// helloOf returns the greeting of a member.
func helloOf(self Member) *lapisv1.Hello {
	return &lapisv1.Hello{
		ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS,
		Node: self.Node, Zone: self.Zone, Region: self.Region, Address: self.Address, Service: self.Service,
	}
}

// daemonAt runs a daemon of the fleet at the member's address until ctx ends. adjust changes its
// configuration.
func daemonAt(ctx context.Context, running *sync.WaitGroup, network *memoryNetwork, self Member, directory Directory, adjust ...func(*Config)) *Fleet {
	incarnation := uint64(len(self.Node)) + uint64(self.Node[0])<<8
	timing := callmux.Timing{HeartbeatInterval: time.Second, SilenceTimeout: 2500 * time.Millisecond, WriteTimeout: time.Second}
	calls := &callmux.Client{
		Network: network, Maintained: true, Timing: timing,
		Hello: helloOf(self),
	}
	calls.Hello.Incarnation = incarnation
	config := Config{
		Self: self, Incarnation: incarnation, Directory: directory, Calls: calls, Observer: offerFunc(func(*lapisv1.Configuration) {}),
		InForce: func() *lapisv1.Configuration { return nil }, Freshness: &configsource.Freshness{},
		Withdrawn: func() []string { return nil }, Random: func() float64 { return 0.5 }, Logger: logr.Discard(),
	}
	for _, change := range adjust {
		change(&config)
	}
	daemon := New(config)
	server := &callmux.Server{Node: self.Node, Incarnation: incarnation, Origin: noInstances{}, Timing: timing, Accepted: daemon.Accepted}
	listener, _ := network.Listen(self.Address)
	accepting := &accept.Server{Node: self.Node, Logger: logr.Discard(), Handlers: map[lapisv1.Hello_Purpose]accept.Handler{lapisv1.Hello_PURPOSE_CALLS: server.Serve}}
	running.Go(func() { accepting.Serve(ctx, listener) })
	running.Go(func() {
		daemon.Run(ctx)
		calls.Close()
	})
	return daemon
}

func memberAt(node, address string) Member {
	return Member{Node: node, Address: address, Zone: "a", Service: "desk"}
}

// connectedTo returns the daemons that a daemon can send calls to, with their addresses.
func connectedTo(daemon *Fleet) map[string]string {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	connected := map[string]string{}
	for node, member := range daemon.peers {
		if member.connected {
			connected[node] = member.Address
		}
	}
	return connected
}

// newTestFleet returns a fleet of a daemon in zone a with a revision in force and the given peers.
func newTestFleet(revision uint64, members ...*peer) *Fleet {
	fleet := New(Config{
		Self: Member{Node: "self", Zone: "a"}, Random: func() float64 { return 0.5 }, Logger: logr.Discard(),
		InForce:   func() *lapisv1.Configuration { return &lapisv1.Configuration{Revision: revision} },
		Freshness: &configsource.Freshness{},
	})
	for _, member := range members {
		fleet.peers[member.Node] = member
	}
	return fleet
}

func peerIn(node, zone string, revision uint64) *peer {
	return &peer{name: node, Member: Member{Node: node, Zone: zone}, connected: true, revision: revision}
}

// offerFunc is an observer that only receives configurations.
type offerFunc func(*lapisv1.Configuration)

func (f offerFunc) OfferConfiguration(configuration *lapisv1.Configuration, _ string) {
	f(configuration)
}

func (offerFunc) Endpoints(string, []*lapisv1.Endpoint) {}

func (offerFunc) Members(int) {}

func (offerFunc) Withdraw(string, string) {}

func (offerFunc) OfferSuspects([]quarantine.Record, string) {}

func (offerFunc) OfferOrders(*orders.Set, string) {}

// scriptedDirectory is a directory whose results are delayed by lag, in pages of pageSize members or,
// if that is 0, in one page.
type scriptedDirectory struct {
	lag      time.Duration
	pageSize int

	// mutex protects the fields below.
	mutex     sync.Mutex
	down      bool
	published map[Member]time.Time
	lists     []time.Time
	writes    int
}

func (d *scriptedDirectory) Publish(_ context.Context, member Member) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writes++
	if d.down {
		return errDirectoryDown
	}
	d.published[member] = time.Now()
	return nil
}

func (d *scriptedDirectory) Page(_ context.Context, after string) ([]Member, string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lists = append(d.lists, time.Now())
	if d.down {
		return nil, "", errDirectoryDown
	}
	var members []Member
	for member, at := range d.published {
		if time.Since(at) >= d.lag && member.Node > after {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	if d.pageSize > 0 && len(members) > d.pageSize {
		members = members[:d.pageSize]
		return members, members[d.pageSize-1].Node, nil
	}
	return members, "", nil
}

// calls returns the number of lists and of writes.
func (d *scriptedDirectory) calls() (lists, writes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.lists), d.writes
}

var errDirectoryDown = errors.New("the directory is down")

// runDaemons runs test with a directory, a network, and a function that starts a daemon on both.
// The daemons end when test returns.
func runDaemons(t *testing.T, entries []Member, test func(network *memoryNetwork, start func(Member, ...func(*Config)) *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		directory := &scriptedDirectory{published: map[Member]time.Time{}}
		for _, entry := range entries {
			directory.published[entry] = time.Now()
		}
		network := newMemoryNetwork()
		var running sync.WaitGroup
		test(network, func(member Member, adjust ...func(*Config)) *Fleet {
			return daemonAt(ctx, &running, network, member, directory, adjust...)
		})
		cancel()
		running.Wait()
		// Waits for unanswered greetings to time out.
		time.Sleep(time.Minute)
	})
}
