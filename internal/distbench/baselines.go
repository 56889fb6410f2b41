package distbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/changelog"
	"github.com/lapisvane/lapisvane/internal/holdings"
	"github.com/lapisvane/lapisvane/internal/meshconfig"
	"github.com/lapisvane/lapisvane/internal/objectapi"
	"github.com/lapisvane/lapisvane/internal/seat"
	"github.com/lapisvane/lapisvane/internal/testsite"
	"github.com/lapisvane/lapisvane/internal/topology"
	"github.com/lapisvane/lapisvane/internal/tree"
	"github.com/lapisvane/lapisvane/internal/wire"
)

// The naive forms of distribution, kept to compare with.

// pollInterval is how often a proxy of the poll baseline asks the source.
const pollInterval = time.Second

// fullStateKey holds the whole configuration for the baselines.
const fullStateKey = "baseline/full"

// fullStateFrame encodes the whole configuration as one update.
func fullStateFrame(state *meshconfig.State) *lapisv1.ControlFrame {
	update := &lapisv1.Update{ToRevision: state.Revision, Full: true, Digest: state.Digest.Bytes()}
	for _, encoded := range state.Bundles {
		update.Bundles = append(update.Bundles, encoded)
	}
	return wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Update{Update: update}})
}

// baselineProxy holds the whole configuration and applies full updates only.
type baselineProxy struct {
	name     string
	oracle   *oracle
	holdings *holdings.Holdings
	bytes    atomic.Int64
}

// take applies a full update and reports its revision.
func (p *baselineProxy) take(frame *lapisv1.ControlFrame) error {
	inner, err := wire.Decompress(frame)
	if err != nil {
		return err
	}
	update := inner.GetUpdate()
	previous := p.holdings.Revision()
	if update.GetToRevision() <= previous {
		return nil
	}
	all := holdings.Interest{All: true}
	if err := p.holdings.Apply(update, all); err != nil {
		return err
	}
	p.oracle.Judge(p.name, all, previous, tree.Applied{Revision: update.GetToRevision(), Bundles: p.holdings.Bundles(all)})
	return nil
}

// baseline is a running naive distribution.
type baseline struct {
	fleet   *Fleet
	proxies []*baselineProxy
	// readers is the number of proxies that read the source.
	readers int
	cancel  context.CancelFunc
	running sync.WaitGroup
	// servers counts the traffic of each serving reader.
	servers []*wire.Counters
}

func newBaseline(fleet *Fleet) *baseline {
	started := &baseline{fleet: fleet}
	for index := range fleet.shape.Proxies {
		started.proxies = append(started.proxies, &baselineProxy{
			name: fmt.Sprintf("baseline-%05d", index), oracle: fleet.oracle, holdings: holdings.New(),
		})
	}
	return started
}

// startPoll lets every proxy poll the source.
func startPoll(fleet *Fleet) *baseline {
	started := newBaseline(fleet)
	started.readers = fleet.shape.Proxies
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	for index, proxy := range started.proxies {
		zone := fleet.shape.Zones[index%len(fleet.shape.Zones)]
		client := objectapi.NewClient([]string{fleet.Platform.Address()}, "", fleet.Topology.DialFrom(topology.Place{Zone: zone, Node: proxy.name}))
		started.running.Go(func() {
			defer client.Close()
			proxy.poll(ctx, client)
		})
	}
	return started
}

// poll asks for the head and, when it moved, for the whole configuration.
func (p *baselineProxy) poll(ctx context.Context, client *objectapi.Client) {
	if !callload.SleepUntil(ctx, time.Now().Add(rand.N(pollInterval))) {
		return
	}
	for {
		p.pollOnce(ctx, client)
		p.bytes.Store(client.BytesIn.Load() + client.BytesOut.Load())
		if !callload.SleepUntil(ctx, time.Now().Add(pollInterval)) {
			return
		}
	}
}

func (p *baselineProxy) pollOnce(ctx context.Context, client *objectapi.Client) {
	head, err := client.Get(ctx, changelog.HeadKey)
	if err != nil {
		return
	}
	revision := &lapisv1.Revision{}
	if proto.Unmarshal(head.Value, revision) != nil || revision.GetNumber() <= p.holdings.Revision() {
		return
	}
	object, err := client.Get(ctx, fullStateKey)
	if err != nil {
		return
	}
	frame := &lapisv1.ControlFrame{}
	if proto.Unmarshal(object.Value, frame) == nil {
		if err := p.take(frame); err != nil {
			p.oracle.violated("%s: %v", p.name, err)
		}
	}
}

// startStar lets two readers a zone push the whole configuration to every
// proxy of the zone.
func startStar(fleet *Fleet) (*baseline, error) {
	started := newBaseline(fleet)
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	var readers []*starReader
	const readersPerZone = 2
	for _, zone := range fleet.shape.Zones {
		for range readersPerZone {
			reader, err := newStarReader(fleet, zone)
			if err != nil {
				cancel()
				return nil, err
			}
			readers = append(readers, reader)
			started.servers = append(started.servers, reader.counters)
			started.running.Go(func() { reader.accept(ctx) })
			started.running.Go(func() { reader.follow(ctx) })
		}
	}
	started.readers = len(readers)
	for index, proxy := range started.proxies {
		zone := index % len(fleet.shape.Zones)
		reader := readers[zone*readersPerZone+(index/len(fleet.shape.Zones))%readersPerZone]
		started.running.Go(func() {
			proxy.listen(ctx, fleet.Topology.Network(topology.Place{Zone: fleet.shape.Zones[zone], Node: proxy.name}), reader.address)
		})
	}
	return started, nil
}

// listen takes full updates from a reader.
func (p *baselineProxy) listen(ctx context.Context, network wire.Network, address string) {
	raw, err := network.Dial(ctx, address)
	if err != nil {
		p.oracle.violated("%s: %v", p.name, err)
		return
	}
	counters := &wire.Counters{}
	conn := wire.NewConn(raw, counters)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	for {
		frame := &lapisv1.ControlFrame{}
		if conn.Receive(frame) != nil {
			return
		}
		if err := p.take(frame); err != nil {
			p.oracle.violated("%s: %v", p.name, err)
		}
		p.bytes.Store(counters.BytesIn.Load())
	}
}

// starReader watches the source and pushes to its proxies.
type starReader struct {
	fleet    *Fleet
	client   *objectapi.Client
	listener net.Listener
	address  string
	counters *wire.Counters

	mutex  sync.Mutex
	conns  []*wire.Conn
	latest *lapisv1.ControlFrame
}

func newStarReader(fleet *Fleet, zone string) (*starReader, error) {
	listener, err := fleet.Topology.Network(topology.Place{Zone: zone, Node: zone + "-reader"}).Listen(testsite.Loopback)
	if err != nil {
		return nil, err
	}
	return &starReader{
		fleet: fleet, listener: listener, address: listener.Addr().String(), counters: &wire.Counters{},
		client: objectapi.NewClient([]string{fleet.Platform.Address()}, "", fleet.Topology.DialFrom(topology.Place{Zone: zone, Node: zone + "-reader"})),
	}, nil
}

func (r *starReader) accept(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = r.listener.Close() })
	defer stop()
	for {
		raw, err := r.listener.Accept()
		if err != nil {
			return
		}
		conn := wire.NewConn(raw, r.counters)
		r.mutex.Lock()
		r.conns = append(r.conns, conn)
		latest := r.latest
		r.mutex.Unlock()
		if latest != nil {
			go func() { _ = conn.Send(latest) }()
		}
	}
}

func (r *starReader) follow(ctx context.Context) {
	defer r.client.Close()
	log := changelog.New(r.client, time.Now)
	state, err := log.Refresh(ctx)
	if err != nil {
		return
	}
	r.push(state)
	list, err := r.client.List(ctx, seat.Prefix, "", 1)
	if err != nil {
		return
	}
	watch, err := r.client.Watch(ctx, []string{changelog.HeadPrefix}, list.Version)
	if err != nil {
		return
	}
	defer watch.Close()
	for {
		event, err := watch.Next()
		if err != nil {
			return
		}
		if event.Object.Key != changelog.HeadKey {
			continue
		}
		if state, err := log.Observe(ctx, event.Object); err == nil {
			r.push(state)
		}
	}
}

// push sends the whole state, encoded once, to every proxy.
func (r *starReader) push(state *meshconfig.State) {
	frame := fullStateFrame(state)
	r.mutex.Lock()
	r.latest = frame
	conns := append([]*wire.Conn(nil), r.conns...)
	r.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.Send(frame)
	}
}

// behind returns the number of proxies that lack revision.
func (b *baseline) behind(revision uint64) int {
	count := 0
	for _, proxy := range b.proxies {
		if proxy.inForce() < revision {
			count++
		}
	}
	return count
}

func (p *baselineProxy) inForce() uint64 { return p.oracle.lastOf(p.name) }

func (b *baseline) stop() {
	b.cancel()
	b.running.Wait()
}
