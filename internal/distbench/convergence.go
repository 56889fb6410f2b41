package distbench

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/objectapi"
	"github.com/lapisvane/lapisvane/internal/settings"
	"github.com/lapisvane/lapisvane/internal/testsite"
	"github.com/lapisvane/lapisvane/internal/tree"
)

// Names of the strategies of distribution.
const (
	StrategyPoll  = "poll"
	StrategyStar  = "star-snapshot"
	StrategyTree  = "tree-delta"
	convergeLimit = 20 * time.Second
)

// ConvergenceCommand is a command of lapislab.
var _ flags.Commander = (*ConvergenceCommand)(nil)

// ConvergenceCommand measures convergence and control bytes of each strategy on
// the same work.
type ConvergenceCommand struct {
	Proxies  int           `long:"proxies" description:"hollow daemons" default:"1000"`
	Services int           `long:"services" description:"services in the configuration" default:"950"`
	PerProxy int           `long:"per-proxy" description:"services that each proxy uses" default:"30"`
	Changes  int           `long:"changes" description:"configuration changes to measure" default:"4"`
	Interval time.Duration `long:"interval" description:"time between changes" default:"2s"`
	Churn    float64       `long:"churn" description:"endpoint changes per second" default:"5"`
	Strategy []string      `long:"strategy" description:"strategy to run; all by default" choice:"poll" choice:"star-snapshot" choice:"tree-delta"`
	Profile  []string      `long:"profile" description:"profile to run; all by default" choice:"swancycle" choice:"board"`
	Seed     uint64        `long:"seed" description:"seed of all randomness" default:"1"`
	Output   string        `long:"output" description:"JSON file for the figures"`
}

// StrategyFigures are the stored figures of one strategy.
type StrategyFigures struct {
	Profile        string                 `json:"profile"`
	Strategy       string                 `json:"strategy"`
	BytesPerChange float64                `json:"control_bytes_per_change_per_proxy"`
	Convergence    *hdrhistogram.Snapshot `json:"convergence"`
}

// Execute implements flags.Commander.
func (c *ConvergenceCommand) Execute([]string) error {
	if c.Proxies < 1 || c.Services < 1 || c.Changes < 1 || c.Interval <= 0 {
		return fmt.Errorf("proxies, services, changes and interval must be above 0")
	}
	profiles := c.Profile
	if len(profiles) == 0 {
		profiles = []string{testsite.ProfileSwancycle, testsite.ProfileBoard}
	}
	failed := false
	var stored []StrategyFigures
	for index, name := range profiles {
		strategies := c.Strategy
		if len(strategies) == 0 {
			// The baselines have no settings that a profile could change, so
			// they run once, beside the first profile.
			strategies = []string{StrategyPoll, StrategyStar, StrategyTree}
			if index > 0 {
				strategies = []string{StrategyTree}
			}
		}
		for _, strategy := range strategies {
			figures, err := c.measure(name, strategy)
			if err != nil {
				return fmt.Errorf("%s: %w", strategy, err)
			}
			figures.print()
			stored = append(stored, StrategyFigures{
				Profile: figures.profile, Strategy: strategy, BytesPerChange: figures.bytesPerChange,
				Convergence: figures.histogram.Export(),
			})
			failed = failed || len(figures.violations) > 0
		}
	}
	if failed {
		return fmt.Errorf("an invariant was violated")
	}
	if c.Output == "" {
		return nil
	}
	return experiment.WriteIndented(c.Output, stored)
}

// convergenceFigures are the figures of one strategy.
type convergenceFigures struct {
	profile, strategy string
	proxies, changes  int
	histogram         *hdrhistogram.Histogram
	bytesPerChange    float64
	sourceReaders     int
	maxNodeBytes      float64
	sourceRequests    float64
	betweenZones      float64
	violations        []string
}

func (f *convergenceFigures) print() {
	experiment.Results.Info("bench.result", "name", "convergence", "strategy", f.strategy, "profile", f.profile,
		"proxies", f.proxies, "changes", f.changes,
		"p50_ms", experiment.Millis(f.histogram.ValueAtQuantile(50)), "p99_ms", experiment.Millis(f.histogram.ValueAtQuantile(99)),
		"max_ms", experiment.Millis(f.histogram.Max()), "applies", f.histogram.TotalCount(),
		"control_bytes_per_change_per_proxy", f.bytesPerChange, "source_readers", f.sourceReaders,
		"max_node_bytes_per_second", f.maxNodeBytes, "source_requests_per_second", f.sourceRequests,
		"zone_crossing_bytes_per_change", f.betweenZones, "violations", len(f.violations))
	for _, violation := range f.violations {
		experiment.Results.Info("bench.violation", "detail", violation)
	}
}

func (c *ConvergenceCommand) shape(profile testsite.Profile) FleetShape {
	tunables := features.Convergence()
	if profile.Distribution == settings.ProfileBytes {
		tunables = features.Bytes()
	}
	return FleetShape{
		Proxies: c.Proxies, Zones: profile.Zones, Services: c.Services, PerProxy: c.PerProxy,
		Tunables: tunables, ZoneDelay: profile.ZoneDelay, Seed: c.Seed, Seeds: 3,
	}
}

// strategyRun is a distribution under measurement.
type strategyRun interface {
	behind(revision uint64) int
	// traffic returns the bytes of all proxies and of each node that serves or
	// reads.
	traffic() traffic
	sourceReaders() int
}

// traffic is the control traffic so far.
type traffic struct {
	total   int64
	perNode []int64
}

func (c *ConvergenceCommand) measure(profileName, strategy string) (*convergenceFigures, error) {
	profile, _ := testsite.ProfileNamed(profileName)
	fleet, err := NewFleet(c.shape(profile))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	run, stop, err := c.start(fleet, strategy)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := waitNone(run, fleet.Revision(), experiment.SetUpLimit); err != nil {
		return nil, fmt.Errorf("at the start: %w", err)
	}
	time.Sleep(time.Second)
	return c.drive(fleet, run, profile, strategy)
}

func (c *ConvergenceCommand) start(fleet *Fleet, strategy string) (run strategyRun, stop func(), err error) {
	switch strategy {
	case StrategyPoll:
		if err := fleet.storeFull(); err != nil {
			return nil, nil, err
		}
		started := startPoll(fleet)
		return started, started.stop, nil
	case StrategyStar:
		started, err := startStar(fleet)
		if err != nil {
			return nil, nil, err
		}
		return started, started.stop, nil
	default:
		return &treeRun{fleet}, func() {}, fleet.Start()
	}
}

// drive makes the changes and the endpoint churn and measures.
func (c *ConvergenceCommand) drive(fleet *Fleet, run strategyRun, profile testsite.Profile, strategy string) (*convergenceFigures, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if strategy == StrategyTree {
		go churn(ctx, fleet, c.Churn)
	}
	before := run.traffic()
	requestsBefore := fleet.Platform.Load().Requests
	crossingBefore := fleet.Topology.BetweenZones.Load()
	started := time.Now()
	fleet.oracle.record(true)
	for range c.Changes {
		next := time.Now().Add(c.Interval)
		if err := fleet.Change(); err != nil {
			return nil, err
		}
		if strategy == StrategyPoll {
			if err := fleet.storeFull(); err != nil {
				return nil, err
			}
		}
		callload.SleepUntil(ctx, next)
	}
	if err := waitNone(run, fleet.Revision(), convergeLimit); err != nil {
		return nil, err
	}
	elapsed := time.Since(started).Seconds()
	after := run.traffic()
	figures := &convergenceFigures{
		profile: profile.Name, strategy: strategy, proxies: c.Proxies, changes: c.Changes,
		histogram: fleet.oracle.convergence, sourceReaders: run.sourceReaders(),
		bytesPerChange: float64(after.total-before.total) / float64(c.Changes) / float64(c.Proxies),
		sourceRequests: float64(fleet.Platform.Load().Requests-requestsBefore) / elapsed,
		betweenZones:   float64(fleet.Topology.BetweenZones.Load()-crossingBefore) / float64(c.Changes),
		violations:     fleet.oracle.report(),
	}
	for index := range after.perNode {
		figures.maxNodeBytes = max(figures.maxNodeBytes, float64(after.perNode[index]-before.perNode[index])/elapsed)
	}
	return figures, nil
}

func churn(ctx context.Context, fleet *Fleet, rate float64) {
	if rate <= 0 {
		return
	}
	interval := time.Duration(float64(time.Second) / rate)
	for callload.SleepUntil(ctx, time.Now().Add(interval)) {
		fleet.ChurnEndpoints()
	}
}

func waitNone(run strategyRun, revision uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		behind := run.behind(revision)
		if behind == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d proxies lack revision %d after %s", behind, revision, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// storeFull stores the whole configuration for the poll baseline.
func (f *Fleet) storeFull() error {
	encoded, err := proto.Marshal(fullStateFrame(f.log.State()))
	if err != nil {
		return err
	}
	_, err = f.store.Put(context.Background(), fullStateKey, encoded, objectapi.VersionAny)
	return err
}

// treeRun measures the product itself.
type treeRun struct{ fleet *Fleet }

func (t *treeRun) behind(revision uint64) int { return len(t.fleet.behind(revision)) }

// traffic counts every byte once at the receiving proxy for the total, and both
// directions for each node.
func (t *treeRun) traffic() traffic {
	var sum traffic
	for _, member := range t.fleet.Members {
		sum.total += member.BytesIn()
		sum.perNode = append(sum.perNode, member.BytesIn()+member.BytesOut())
	}
	return sum
}

func (t *treeRun) sourceReaders() int {
	readers := 0
	for _, member := range t.fleet.Members {
		if member.Node.Info().Role == tree.RoleReader {
			readers++
		}
	}
	return readers
}

func (b *baseline) traffic() traffic {
	var sum traffic
	for _, proxy := range b.proxies {
		sum.total += proxy.bytes.Load()
		sum.perNode = append(sum.perNode, proxy.bytes.Load())
	}
	for _, counters := range b.servers {
		sum.perNode = append(sum.perNode, counters.BytesIn.Load()+counters.BytesOut.Load())
	}
	return sum
}

func (b *baseline) sourceReaders() int { return b.readers }
