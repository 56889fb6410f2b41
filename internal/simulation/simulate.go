package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/internal/distbench"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/membership"
	"github.com/lapisvane/lapisvane/internal/objectapi"
	"github.com/lapisvane/lapisvane/internal/scalerun"
	"github.com/lapisvane/lapisvane/internal/seat"
	"github.com/lapisvane/lapisvane/internal/topology"
)

// SimulateCommand runs a discrete-event simulation of a fleet under virtual
// time: daemons find their parents by the product's own decision code, and
// changes travel down the tree that results.
type SimulateCommand struct {
	Nodes       []int         `long:"nodes" description:"daemons; may be given several times" default:"19000"`
	Changes     int           `long:"changes" description:"changes to follow" default:"20"`
	Cores       int           `long:"cores" description:"processors that all daemons share; 0 gives each daemon its own"`
	FrameCost   time.Duration `long:"frame-cost" description:"processor time to handle one frame" default:"60us"`
	ApplyCost   time.Duration `long:"apply-cost" description:"processor time to verify a version and put it in force" default:"100us"`
	SourceDelay time.Duration `long:"source-cost" description:"time for the source to send one watch event" default:"200us"`
	ZoneDelay   time.Duration `long:"zone-delay" description:"one-way delay between zones" default:"500us"`
	RegionDelay time.Duration `long:"region-delay" description:"one-way delay between regions" default:"15ms"`
	HerdPart    float64       `long:"herd" description:"part of the daemons restarted at once" default:"0.3"`
	Seed        uint64        `long:"seed" description:"seed of all randomness" default:"1"`
	Compare     []string      `long:"compare" description:"figures of a scale run (JSON) to check the model against, instead of --nodes; may be given several times"`
}

// Execute implements flags.Commander.
func (c *SimulateCommand) Execute([]string) error {
	if len(c.Compare) > 0 {
		return c.compareAll()
	}
	for _, nodes := range c.Nodes {
		if nodes < len(topology.ScaleLayout.Zones) {
			return fmt.Errorf("nodes must be at least %d", len(topology.ScaleLayout.Zones))
		}
		run := newSimulation(c, nodes)
		joined := run.joinAll(run.nodes)
		print := func(phase string, joined time.Duration) {
			histogram := run.distribute(c.Changes)
			experiment.Results.Info("simulation.result", "phase", phase, "nodes", nodes, "cores", c.Cores, "joined_ms", joined.Milliseconds(),
				"p50_ms", experiment.Millis(histogram.ValueAtQuantile(50)), "p99_ms", experiment.Millis(histogram.ValueAtQuantile(99)),
				"max_ms", experiment.Millis(histogram.Max()), "max_depth", run.maxDepth(), "readers", run.readers(), "max_children", run.maxChildren(),
				"asks_at_source", run.sourceAsks, "peak_asks_at_source_per_second", run.peakAsks(),
				"peak_joins_per_second_at_one_parent", run.peakJoins)
		}
		print("cold-start", joined)
		print("herd", run.herd(c.HerdPart))
	}
	return nil
}

// compareAll runs the model at the sizes of real runs and prints its error.
func (c *SimulateCommand) compareAll() error {
	for _, path := range c.Compare {
		figures, err := scalerun.ReadScaleFigures(path)
		if err != nil {
			return err
		}
		nodes := figures.Hollow + figures.Real
		run := newSimulation(c, nodes)
		run.joinAll(run.nodes)
		model := experiment.Millis(run.distribute(c.Changes).ValueAtQuantile(99))
		experiment.Results.Info("simulation.error", "nodes", nodes, "cores", c.Cores, "model_p99_ms", model,
			"real_p99_ms", figures.P99Millis, "error_percent", 100*(model-figures.P99Millis)/figures.P99Millis)
	}
	return nil
}

// simNode is one simulated daemon.
type simNode struct {
	place      topology.Place
	candidates *membership.Candidates
	seats      *seat.Table
	parent     *simNode
	children   []*simNode
	expected   map[*simNode]uint32
	reader     string
	up         bool
	// epoch grows with each restart; events of an earlier process are dropped.
	epoch   int
	nextAsk time.Duration
	rounds  int
	backoff time.Duration
	// waiting is true until the node has a parent or a seat.
	waiting   bool
	joins     int
	joinsFrom time.Duration
}

// simulation is a fleet under virtual time.
type simulation struct {
	command  *SimulateCommand
	tunables features.Distribution
	random   *rand.Rand
	topology *topology.Topology
	nodes    []*simNode
	byZone   map[string][]objectapi.Machine
	machines map[string]*simNode
	now      time.Duration
	queue    eventQueue
	order    int
	// seats is what the source holds: seat key to holder and version.
	seats        map[string]simSeat
	sourceAsks   int
	asksBySecond map[time.Duration]int
	peakJoins    int
	waiting      int
	// free gives when each shared processor is free again.
	free []time.Duration
}

// simSeat is a seat at the source.
type simSeat struct {
	holder  *simNode
	version int64
	renewed time.Duration
}

// virtualStart anchors virtual time for code that takes a time.Time.
var virtualStart = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return virtualStart.Add(s.now) }

func newSimulation(command *SimulateCommand, count int) *simulation {
	run := &simulation{
		command: command, tunables: features.Convergence(), random: rand.New(rand.NewPCG(command.Seed, uint64(count))),
		topology: topology.NewTopology(command.ZoneDelay, command.RegionDelay),
		byZone:   map[string][]objectapi.Machine{}, machines: map[string]*simNode{}, seats: map[string]simSeat{},
		asksBySecond: map[time.Duration]int{}, free: make([]time.Duration, command.Cores),
	}
	shape := distbench.FleetShape{Zones: topology.ScaleLayout.Zones, Regions: topology.ScaleLayout.Regions}
	for index := range count {
		node := &simNode{place: shape.PlaceOf(index)}
		run.nodes = append(run.nodes, node)
		run.machines[node.place.Node] = node
		run.byZone[node.place.Zone] = append(run.byZone[node.place.Zone], objectapi.Machine{
			Node: node.place.Node, Address: node.place.Node, Zone: node.place.Zone, State: objectapi.MachineLive,
		})
	}
	return run
}

func (s *simulation) after(delay time.Duration, action func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.order, action: action})
}

// step runs the next event; false when there is none.
func (s *simulation) step() bool {
	if s.queue.Len() == 0 {
		return false
	}
	next := heap.Pop(&s.queue).(event)
	s.now = next.at
	next.action()
	return true
}

func (s *simulation) maxDepth() int {
	deepest := 0
	for _, node := range s.nodes {
		deepest = max(deepest, len(pathOf(node)))
	}
	return deepest
}

func (s *simulation) readers() int {
	count := 0
	for _, node := range s.nodes {
		if node.reader != "" {
			count++
		}
	}
	return count
}

func (s *simulation) maxChildren() int {
	most := 0
	for _, node := range s.nodes {
		most = max(most, len(node.children))
	}
	return most
}

// peakAsks returns the most questions to the source within one second.
func (s *simulation) peakAsks() int {
	peak := 0
	for _, count := range s.asksBySecond {
		peak = max(peak, count)
	}
	return peak
}
