package distbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/changelog"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/holdings"
	"github.com/lapisvane/lapisvane/internal/meshconfig"
	"github.com/lapisvane/lapisvane/internal/objectapi"
	"github.com/lapisvane/lapisvane/internal/objectapistub"
	"github.com/lapisvane/lapisvane/internal/peer"
	"github.com/lapisvane/lapisvane/internal/testsite"
	"github.com/lapisvane/lapisvane/internal/topology"
	"github.com/lapisvane/lapisvane/internal/tree"
	"github.com/lapisvane/lapisvane/internal/wire"
)

// FleetShape is the shape of a fleet of hollow daemons.
type FleetShape struct {
	Proxies int
	Zones   []string
	// Services is the number of services in the configuration, PerProxy the
	// number that each proxy uses.
	Services, PerProxy int
	Tunables           features.Distribution
	ZoneDelay          time.Duration
	Seed               uint64
	// CutWithinZones makes it possible to cut off single daemons.
	CutWithinZones bool
	// Seeds is the number of other daemons that each one is told of.
	Seeds int
	// Platform is the address of a platform stand-in that runs elsewhere; empty
	// to start one.
	Platform string
	// First is the number of the first daemon, where several processes share a
	// fleet.
	First int
	// Regions gives the region of each zone, RegionDelay the one-way delay
	// between regions, ListenAddress where the daemons of a zone listen; nil
	// for a fleet in one region on one address.
	Regions       []string
	RegionDelay   time.Duration
	ListenAddress func(zone int) string
}

// PlaceOf returns the place of the daemon with the given number.
func (s *FleetShape) PlaceOf(number int) topology.Place {
	zone := number % len(s.Zones)
	at := topology.Place{Zone: s.Zones[zone], Node: fmt.Sprintf("hollow-%05d", number)}
	if len(s.Regions) > 0 {
		at.Region = s.Regions[zone]
	}
	return at
}

func (s *FleetShape) listenAddress(number int) string {
	if s.ListenAddress == nil {
		return testsite.Loopback
	}
	return s.ListenAddress(number % len(s.Zones))
}

// Fleet is a platform stand-in with hollow daemons: each has the real
// distribution code on real sockets, but no request path.
type Fleet struct {
	shape FleetShape
	// Platform is nil when the platform runs elsewhere.
	Platform *objectapistub.Server
	source   string
	Topology *topology.Topology
	oracle   *oracle
	Judge    Judge
	store    *objectapi.Client
	log      *changelog.Log
	random   *rand.Rand

	// mutex protects members; the slice's length never changes after Start.
	mutex   sync.Mutex
	Members []*Hollow
	changes int
}

// judge looks at every version that a hollow daemon puts in force.
type Judge interface {
	Judge(node string, interest holdings.Interest, previous uint64, applied tree.Applied)
}

// Hollow is one hollow daemon. A restart replaces everything but its place in
// the fleet.
type Hollow struct {
	fleet       *Fleet
	number      int
	Place       topology.Place
	interest    holdings.Interest
	service     string
	Counters    *wire.Counters
	client      *objectapi.Client
	Node        *tree.Node
	listener    string
	incarnation uint64
	cancel      context.CancelFunc
	done        chan struct{}

	Mutex   sync.Mutex
	InForce uint64
	// Down is true while the daemon is dead and not replaced.
	Down bool
	// pastBytesIn and pastBytesOut are the platform traffic of dead processes.
	pastBytesIn, pastBytesOut int64
}

// Apply implements tree.Observer.
func (h *Hollow) Apply(applied tree.Applied) {
	h.Mutex.Lock()
	previous := h.InForce
	h.InForce = applied.Revision
	h.Mutex.Unlock()
	h.fleet.Judge.Judge(h.Place.Node, h.interest, previous, applied)
}

// Endpoints implements tree.Observer.
func (h *Hollow) Endpoints(string, []*lapisv1.Endpoint) {}

// NewFleet starts the platform stand-in and accepts the first configuration.
func NewFleet(shape FleetShape) (*Fleet, error) {
	stub, err := objectapistub.Start(objectapistub.Options{Address: testsite.Loopback, Seed: shape.Seed, MachineLag: time.Second})
	if err != nil {
		return nil, err
	}
	shape.Platform = stub.Address()
	fleet := JoinFleet(shape)
	fleet.Platform = stub
	fleet.Topology.Place(stub.Address(), topology.Place{Zone: shape.Zones[0], Node: topology.PlatformPlace})
	if err := fleet.AcceptFirst(); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// JoinFleet prepares daemons of a platform that runs elsewhere.
func JoinFleet(shape FleetShape) *Fleet {
	fleet := &Fleet{
		shape: shape, source: shape.Platform, Topology: topology.NewTopology(shape.ZoneDelay, shape.RegionDelay), oracle: newOracle(),
		store:  objectapi.NewClient([]string{shape.Platform}, "", nil),
		random: rand.New(rand.NewPCG(shape.Seed, 3)),
	}
	fleet.Judge = fleet.oracle
	fleet.Topology.CutWithinZones = shape.CutWithinZones
	fleet.log = changelog.New(&stampingStore{Store: fleet.store, fleet: fleet}, time.Now)
	return fleet
}

// stampingStore tells the oracle of each accept at the moment the accepting
// write is sent.
type stampingStore struct {
	objectapi.Store
	fleet *Fleet
}

// Put implements objectapi.Store.
func (s *stampingStore) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if key != changelog.HeadKey {
		return s.Store.Put(ctx, key, value, expected)
	}
	revision := &lapisv1.Revision{}
	if err := proto.Unmarshal(value, revision); err == nil {
		s.fleet.oracle.accepting(revision, time.Now())
	}
	return s.Store.Put(ctx, key, value, expected)
}

func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// AcceptFirst accepts a configuration with all services.
func (f *Fleet) AcceptFirst() error {
	file := meshconfig.File{}
	for index := range f.shape.Services {
		name := ServiceName(index)
		file.Pools = append(file.Pools, meshconfig.PoolFile{Name: name, Group: "group-a", Slots: 6, ConnectionLimit: 130})
		for _, kind := range []string{"read", "write"} {
			file.Routes = append(file.Routes, meshconfig.RouteFile{
				Name: name + "-" + kind, Group: "group-a", Pool: name, Host: name + ".mesh.example",
				PathPrefix: "/" + kind, Repeatable: kind == "read", DeadlineMillis: 2000,
			})
		}
		for _, group := range []string{"group-a", "group-b", "group-c"} {
			file.Shares = append(file.Shares, meshconfig.ShareFile{Name: name + "-" + group, Group: group, Pool: name, Percent: 30})
		}
	}
	if err := f.accept(file); err != nil {
		return err
	}
	// The accept register holds the newest revision; a second, small one keeps
	// the first from being read again by everyone who looks at the register.
	return f.Change()
}

// Change changes one service's configuration, as an operator would.
func (f *Fleet) Change() error {
	f.changes++
	name := ServiceName(f.random.IntN(f.shape.Services))
	return f.accept(meshconfig.File{Routes: []meshconfig.RouteFile{{
		Name: name + "-read", Group: "group-a", Pool: name, Host: name + ".mesh.example",
		PathPrefix: "/read", Repeatable: true, DeadlineMillis: uint32(1000 + f.changes),
	}}})
}

func (f *Fleet) accept(file meshconfig.File) error {
	changes, err := file.Changes()
	if err != nil {
		return err
	}
	state, err := f.log.Refresh(context.Background())
	if err != nil {
		return err
	}
	_, err = f.log.Accept(context.Background(), &lapisv1.Proposal{
		OperationId: fmt.Sprintf("lab-%d-%d", f.shape.Seed, f.changes), Author: testsite.LabAdmin, BaseRevision: state.Revision, Changes: changes,
	})
	return err
}

// Revision returns the newest accepted revision.
func (f *Fleet) Revision() uint64 { return f.log.State().Revision }

// Start starts all hollow daemons at once.
func (f *Fleet) Start() error {
	for index := range f.shape.Proxies {
		number := f.shape.First + index
		member := &Hollow{
			fleet: f, number: number, Place: f.shape.PlaceOf(number), Counters: &wire.Counters{},
			service: ServiceName(number % f.shape.Services), interest: f.drawInterest(number),
		}
		f.Members = append(f.Members, member)
	}
	listeners := make([]func() error, 0, len(f.Members))
	for _, member := range f.Members {
		run, err := member.open()
		if err != nil {
			return err
		}
		listeners = append(listeners, run)
	}
	for _, run := range listeners {
		if err := run(); err != nil {
			return err
		}
	}
	return nil
}

// drawInterest returns the services of a proxy: its own and random others.
func (f *Fleet) drawInterest(index int) holdings.Interest {
	names := []string{ServiceName(index % f.shape.Services)}
	for len(names) < min(f.shape.PerProxy, f.shape.Services) {
		names = append(names, ServiceName(f.random.IntN(f.shape.Services)))
	}
	return holdings.NewInterest(names...)
}

// open takes a port, so that others can be told of it before the daemon runs.
func (h *Hollow) open() (run func() error, err error) {
	network := h.fleet.Topology.Network(h.Place)
	listener, err := network.Listen(h.fleet.shape.listenAddress(h.number))
	if err != nil {
		return nil, err
	}
	h.listener = listener.Addr().String()
	if err := h.list(); err != nil {
		return nil, err
	}
	return func() error {
		h.incarnation++
		client := objectapi.NewClient([]string{h.fleet.source}, "", h.fleet.Topology.DialFrom(h.Place))
		node := tree.New(tree.Config{
			Node: h.Place.Node, Incarnation: h.incarnation, Zone: h.Place.Zone, Region: h.Place.Region, Address: h.listener,
			Seeds: h.fleet.drawSeeds(h), Interest: h.interest, Tunables: h.fleet.shape.Tunables,
			Network: network, Store: client, Counters: h.Counters,
			Random: rand.New(rand.NewPCG(h.fleet.shape.Seed, rand.Uint64())), Logger: logr.Discard(), Observer: h,
		})
		h.Mutex.Lock()
		h.Node = node
		h.client = client
		h.InForce = 0
		h.Down = false
		h.Mutex.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		h.cancel = cancel
		h.done = make(chan struct{})
		server := &peer.Server{Node: h.Place.Node, Logger: logr.Discard(), Counters: h.Counters, Handlers: map[lapisv1.Hello_Purpose]peer.Handler{
			lapisv1.Hello_PURPOSE_CHILD: node.ServeChild, lapisv1.Hello_PURPOSE_READER: node.ServeReader,
		}}
		node.SetLocalEndpoints([]*lapisv1.Endpoint{{Service: h.service, Instance: h.Place.Node, State: lapisv1.Endpoint_STATE_READY}})
		var running sync.WaitGroup
		running.Go(func() { server.Serve(ctx, listener) })
		running.Go(func() { node.Run(ctx) })
		done := h.done
		go func() {
			running.Wait()
			close(done)
		}()
		return nil
	}, nil
}

// list puts the daemon's machine on the machine list.
func (h *Hollow) list() error {
	machine := objectapi.Machine{
		Node: h.Place.Node, Address: h.listener, Zone: h.Place.Zone, Region: h.Place.Region, State: objectapi.MachineLive,
	}
	if h.fleet.Platform != nil {
		h.fleet.Platform.SetMachine(machine)
		return nil
	}
	return experiment.PutJSON(h.fleet.source, "/lab/machine", machine)
}

// drawSeeds returns addresses of random daemons of the same zone.
func (f *Fleet) drawSeeds(member *Hollow) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var seeds []string
	for range f.shape.Seeds * len(f.shape.Zones) * 2 {
		other := f.Members[f.random.IntN(len(f.Members))]
		if other.Place.Zone == member.Place.Zone && other != member && len(seeds) < f.shape.Seeds {
			seeds = append(seeds, other.listener)
		}
	}
	return seeds
}

// Kill ends a hollow daemon without notice.
func (h *Hollow) Kill() {
	h.cancel()
	<-h.done
	h.client.Close()
	h.Mutex.Lock()
	defer h.Mutex.Unlock()
	if !h.Down {
		h.Down = true
		h.pastBytesIn += h.client.BytesIn.Load()
		h.pastBytesOut += h.client.BytesOut.Load()
		h.client = objectapi.NewClient(nil, "", nil)
	}
}

func (h *Hollow) IsDown() bool {
	h.Mutex.Lock()
	defer h.Mutex.Unlock()
	return h.Down
}

// Restart replaces a killed daemon by one that knows nothing.
func (h *Hollow) Restart() error {
	run, err := h.open()
	if err != nil {
		return err
	}
	return run()
}

func (h *Hollow) revision() uint64 {
	h.Mutex.Lock()
	defer h.Mutex.Unlock()
	return h.InForce
}

// BytesIn and bytesOut return the control traffic so far, that of processes
// replaced included.
func (h *Hollow) BytesIn() int64 {
	h.Mutex.Lock()
	defer h.Mutex.Unlock()
	return h.Counters.BytesIn.Load() + h.pastBytesIn + h.client.BytesIn.Load()
}

func (h *Hollow) BytesOut() int64 {
	h.Mutex.Lock()
	defer h.Mutex.Unlock()
	return h.Counters.BytesOut.Load() + h.pastBytesOut + h.client.BytesOut.Load()
}

// WaitInForce waits until all of the members have revision in force.
func (f *Fleet) WaitInForce(revision uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		behind := f.behind(revision)
		if len(behind) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			first := behind[0]
			return fmt.Errorf("%d of %d proxies lack revision %d, such as %+v", len(behind), len(f.Members), revision, first.Node.Info())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *Fleet) behind(revision uint64) []*Hollow {
	var behind []*Hollow
	for _, member := range f.Members {
		if !member.IsDown() && member.revision() < revision {
			behind = append(behind, member)
		}
	}
	return behind
}

// ChurnEndpoints lets one random daemon state a change of its instance.
func (f *Fleet) ChurnEndpoints() {
	member := f.Members[f.random.IntN(len(f.Members))]
	if member.IsDown() {
		return
	}
	state := lapisv1.Endpoint_STATE_READY
	if f.random.IntN(2) == 0 {
		state = lapisv1.Endpoint_STATE_DRAINING
	}
	member.Node.SetLocalEndpoints([]*lapisv1.Endpoint{{Service: member.service, Instance: member.Place.Node, State: state}})
}

// Close ends all daemons and the platform.
func (f *Fleet) Close() {
	var ending sync.WaitGroup
	for _, member := range f.Members {
		if member.cancel != nil {
			ending.Go(member.Kill)
		}
	}
	ending.Wait()
	f.store.Close()
	if f.Platform != nil {
		f.Platform.Close()
	}
}
