package distbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/objectapistub"
	"github.com/lapisvane/lapisvane/internal/testsite"
	"github.com/lapisvane/lapisvane/internal/tree"
)

// RecoveryCommand measures how a fleet comes back from each kind of fault.
type RecoveryCommand struct {
	Proxies  int      `long:"proxies" description:"hollow daemons" default:"400"`
	Services int      `long:"services" description:"services in the configuration" default:"950"`
	PerProxy int      `long:"per-proxy" description:"services that each proxy uses" default:"30"`
	Fault    []string `long:"fault" description:"fault to run; all by default; may be given several times"`
	Seed     uint64   `long:"seed" description:"seed of all randomness" default:"1"`
}

// faultCase is one fault: inflict disturbs the fleet and returns when the
// disturbance is over and recovery can begin.
type faultCase struct {
	name    string
	inflict func(*Fleet) error
}

// faultCases lists the faults by name.
var faultCases = []faultCase{
	{"reader-killed", (*Fleet).killOneReader},
	{"both-readers-of-a-zone-killed", (*Fleet).killReaders},
	{"reader-partitioned", (*Fleet).partitionReader},
	{"relays-killed", (*Fleet).killRelays},
	{"herd-restart-30-percent", func(f *Fleet) error { return f.RestartPart(0.3) }},
	{"source-down", func(f *Fleet) error { return f.sourceFault(objectapistub.Faults{Down: true}) }},
	{"source-slow", func(f *Fleet) error {
		return f.sourceFault(objectapistub.Faults{DelayMillis: 800, EventDelayMillis: 500})
	}},
	{"source-loses-answers", func(f *Fleet) error { return f.sourceFault(objectapistub.Faults{LoseAnswerPercent: 40}) }},
	{"events-crossed", func(f *Fleet) error {
		return f.sourceFault(objectapistub.Faults{CrossEvents: true, EventDelayMillis: 300})
	}},
	{"watch-compacted", (*Fleet).compactUnderWatch},
	{"zone-cut", (*Fleet).cutZone},
}

// Execute implements flags.Commander.
func (c *RecoveryCommand) Execute([]string) error {
	failed := false
	for _, fault := range faultCases {
		if !c.wants(fault.name) {
			continue
		}
		figures, err := c.measure(fault)
		if err != nil {
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		figures.print(c.Proxies)
		failed = failed || len(figures.violations) > 0 || figures.peakWatchers > objectapistub.DefaultWatchCap
	}
	if failed {
		return fmt.Errorf("an invariant was violated")
	}
	return nil
}

func (c *RecoveryCommand) wants(name string) bool {
	if len(c.Fault) == 0 {
		return true
	}
	for _, wanted := range c.Fault {
		if wanted == name {
			return true
		}
	}
	return false
}

// recoveryFigures are the figures of one fault.
type recoveryFigures struct {
	fault                          string
	recovered                      time.Duration
	peakSource, peakParent         float64
	peakWatchers                   int64
	bytesPerProxy, maxNodePerProxy float64
	resyncs                        int64
	violations                     []string
}

func (f *recoveryFigures) print(proxies int) {
	experiment.Results.Info("bench.result", "name", "recovery", "fault", f.fault, "proxies", proxies,
		"recovered_ms", f.recovered.Milliseconds(), "peak_source_requests_per_second", f.peakSource,
		"peak_joins_per_second_at_one_parent", f.peakParent, "peak_source_watchers", f.peakWatchers,
		"bytes_per_proxy", f.bytesPerProxy, "max_node_bytes", f.maxNodePerProxy,
		"resyncs", f.resyncs, "violations", len(f.violations))
	for _, violation := range f.violations {
		experiment.Results.Info("bench.violation", "detail", violation)
	}
}

func (c *RecoveryCommand) measure(fault faultCase) (*recoveryFigures, error) {
	profile := testsite.Swancycle()
	fleet, err := NewFleet(FleetShape{
		Proxies: c.Proxies, Zones: profile.Zones, Services: c.Services, PerProxy: c.PerProxy,
		Tunables: features.Convergence(), ZoneDelay: profile.ZoneDelay, Seed: c.Seed, Seeds: 3, CutWithinZones: true,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.Start(); err != nil {
		return nil, err
	}
	if err := fleet.WaitInForce(fleet.Revision(), experiment.SetUpLimit); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return fleet.recover(fault)
}

// recover inflicts the fault and measures until everyone has the newest
// version again.
func (f *Fleet) recover(fault faultCase) (*recoveryFigures, error) {
	const recoveryLimit = 60 * time.Second
	watch := startPeakWatch(f)
	before := (&treeRun{f}).traffic()
	if err := fault.inflict(f); err != nil {
		return nil, err
	}
	over := time.Now()
	if err := f.Change(); err != nil {
		return nil, err
	}
	if err := f.WaitInForce(f.Revision(), recoveryLimit); err != nil {
		return nil, err
	}
	figures := &recoveryFigures{fault: fault.name, recovered: time.Since(over)}
	figures.peakSource, figures.peakParent = watch.stop()
	figures.peakWatchers = f.Platform.Load().PeakWatchers
	after := (&treeRun{f}).traffic()
	figures.bytesPerProxy = float64(after.total-before.total) / float64(len(f.Members))
	for index := range after.perNode {
		spent := float64(after.perNode[index] - before.perNode[index])
		figures.maxNodePerProxy = max(figures.maxNodePerProxy, spent)
	}
	for _, member := range f.Members {
		figures.resyncs += member.Node.Info().Resyncs
	}
	figures.violations = f.oracle.report()
	return figures, nil
}

// peakWatch follows the highest rates at the source and at any parent.
type peakWatch struct {
	cancel                 context.CancelFunc
	done                   chan struct{}
	peakSource, peakParent float64
}

func startPeakWatch(fleet *Fleet) *peakWatch {
	ctx, cancel := context.WithCancel(context.Background())
	watch := &peakWatch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(watch.done)
		const window = 250 * time.Millisecond
		requests, joins := fleet.Platform.Load().Requests, fleet.joins()
		for running := true; running; {
			started := time.Now()
			running = callload.SleepUntil(ctx, started.Add(window))
			seconds := max(time.Since(started), window).Seconds()
			nextRequests, nextJoins := fleet.Platform.Load().Requests, fleet.joins()
			watch.peakSource = max(watch.peakSource, float64(nextRequests-requests)/seconds)
			for index := range nextJoins {
				watch.peakParent = max(watch.peakParent, float64(nextJoins[index]-joins[index])/seconds)
			}
			requests, joins = nextRequests, nextJoins
		}
	}()
	return watch
}

func (w *peakWatch) stop() (peakSource, peakParent float64) {
	w.cancel()
	<-w.done
	return w.peakSource, w.peakParent
}

// joins returns how often each daemon was asked to be a parent.
func (f *Fleet) joins() []int64 {
	counts := make([]int64, len(f.Members))
	for index, member := range f.Members {
		member.Mutex.Lock()
		node := member.Node
		member.Mutex.Unlock()
		info := node.Info()
		counts[index] = info.JoinsServed + info.JoinsRefused
	}
	return counts
}

// withRole returns the daemons that have a role now.
func (f *Fleet) withRole(role tree.Role) []*Hollow {
	var found []*Hollow
	for _, member := range f.Members {
		if member.Node.Info().Role == role {
			found = append(found, member)
		}
	}
	return found
}

// replaceAll kills the given daemons at once and starts them anew.
func replaceAll(members []*Hollow) error {
	var ending sync.WaitGroup
	for _, member := range members {
		ending.Go(member.Kill)
	}
	ending.Wait()
	for _, member := range members {
		if err := member.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills the given daemons at once; they stay dead.
func killAll(members []*Hollow) {
	var ending sync.WaitGroup
	for _, member := range members {
		member.fleet.Platform.RemoveMachine(member.Place.Node)
		ending.Go(member.Kill)
	}
	ending.Wait()
}

// killReaders kills every reader of the first zone for good, so that nobody of
// the zone has a way to the source until its seats are taken again.
func (f *Fleet) killReaders() error {
	var readers []*Hollow
	for _, member := range f.withRole(tree.RoleReader) {
		if member.Place.Zone == f.shape.Zones[0] {
			readers = append(readers, member)
		}
	}
	killAll(readers)
	return nil
}

// killOneReader kills one reader for good.
func (f *Fleet) killOneReader() error {
	killAll(f.withRole(tree.RoleReader)[:1])
	return nil
}

// partitionReader cuts one reader off for longer than its lease, while it still
// believes to hold its seat, and joins it again.
func (f *Fleet) partitionReader() error {
	reader := f.withRole(tree.RoleReader)[0]
	f.Topology.Isolate(true, reader.Place.Node)
	if err := f.Change(); err != nil {
		return err
	}
	time.Sleep(f.shape.Tunables.SeatLease.Get() + 2*time.Second)
	f.Topology.Isolate(false, reader.Place.Node)
	return nil
}

// killRelays kills half of the relays at once, for good.
func (f *Fleet) killRelays() error {
	relays := f.withRole(tree.RoleRelay)
	killAll(relays[:(len(relays)+1)/2])
	return nil
}

// RestartPart replaces a random part of all daemons at once.
func (f *Fleet) RestartPart(part float64) error {
	var chosen []*Hollow
	for _, index := range f.random.Perm(len(f.Members))[:int(part*float64(len(f.Members)))] {
		chosen = append(chosen, f.Members[index])
	}
	return replaceAll(chosen)
}

// sourceFault disturbs the source for longer than a lease, with restarts and
// changes meanwhile.
func (f *Fleet) sourceFault(faults objectapistub.Faults) error {
	f.Platform.SetFaults(faults)
	if !faults.Down {
		for range 5 {
			if err := f.Change(); err != nil {
				return err
			}
		}
	}
	if err := f.RestartPart(0.05); err != nil {
		return err
	}
	time.Sleep(f.shape.Tunables.SeatLease.Get() + 2*time.Second)
	f.Platform.SetFaults(objectapistub.Faults{})
	return nil
}

// compactUnderWatch makes every running watch too old.
func (f *Fleet) compactUnderWatch() error {
	f.Platform.SetFaults(objectapistub.Faults{Down: true})
	f.Platform.SetFaults(objectapistub.Faults{})
	for range 3 {
		if err := f.Change(); err != nil {
			return err
		}
	}
	f.Platform.Compact()
	return nil
}

// cutZone cuts a zone off while changes go on, and joins it again.
func (f *Fleet) cutZone() error {
	zone := f.shape.Zones[len(f.shape.Zones)-1]
	f.Topology.Isolate(true, zone)
	for range 3 {
		if err := f.Change(); err != nil {
			return err
		}
	}
	time.Sleep(f.shape.Tunables.SeatLease.Get() + 2*time.Second)
	f.Topology.Isolate(false, zone)
	return nil
}
