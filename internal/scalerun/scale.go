package scalerun

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/distbench"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/objectapistub"
	"github.com/lapisvane/lapisvane/internal/topology"
)

// ScaleCommand is a command of lapislab.
var _ flags.Commander = (*ScaleCommand)(nil)

// ScaleCommand drives a scale run over processes that a script has started.
type ScaleCommand struct {
	Platform string        `long:"platform" description:"IP:port of the platform stand-in" required:"true"`
	Hollow   []string      `long:"hollow" description:"control address of a process of hollow daemons; may be given several times" required:"true"`
	Real     []string      `long:"real" description:"metrics address of a lapisvaned; may be given several times"`
	Callers  []string      `long:"caller" description:"caller address of a lapisvaned for calls during the run; may be given several times"`
	Services int           `long:"services" description:"services in the configuration" default:"950"`
	Steady   time.Duration `long:"steady" description:"length of the steady phase" default:"20s"`
	Fast     time.Duration `long:"fast" description:"length of the phase with ten times the changes and with restarts" default:"15s"`
	Output   string        `long:"output" description:"JSON file for the figures"`
	Phases   []string      `long:"phase" description:"phase to run; all by default" choice:"steady" choice:"fast" choice:"herd" choice:"rack" choice:"zone-cut" choice:"region-cut" choice:"outage"`
	Budget   scaleBudget   `group:"Budgets"`
	Seed     uint64        `long:"seed" description:"seed of all randomness" default:"1"`
}

// scaleBudget is what a run must keep to.
type scaleBudget struct {
	ConvergenceP99 time.Duration `long:"budget-p99" description:"p99 of convergence without faults" default:"2s"`
	HerdP99        time.Duration `long:"budget-herd-p99" description:"p99 of convergence through a herd restart" default:"8s"`
	NodeBytes      float64       `long:"budget-node-bytes" description:"bytes per second of any node in the steady phase" default:"20000"`
	CorePercent    float64       `long:"budget-core-percent" description:"percent of a core for any real daemon in the steady phase" default:"4.9"`
	MemoryMB       float64       `long:"budget-memory-mb" description:"resident memory of any real daemon" default:"128"`
	Readers        int64         `long:"budget-readers" description:"watches at the source" default:"40"`
}

// Change rates of the phases, in changes per second: 46,000 a day and ten times
// that.
const (
	dailyChangeRate = 46000.0 / 86400
	fastRate        = 10 * dailyChangeRate
	// scaledRestarts is how much faster than 4,200 of 19,000 a day daemons are
	// restarted in the fast phase, so that it shows.
	scaledRestarts = 200
	restartsPerDay = 4200.0 / 19000
)

// scaleDriver is a run in progress.
type scaleDriver struct {
	command *ScaleCommand
	fleet   *distbench.Fleet
	figures ScaleFigures
}

// Execute implements flags.Commander.
func (c *ScaleCommand) Execute([]string) error {
	driver := &scaleDriver{command: c, fleet: distbench.JoinFleet(distbench.FleetShape{
		Platform: c.Platform, Services: c.Services, PerProxy: 1, Seed: c.Seed,
		Zones: topology.ScaleLayout.Zones, Regions: topology.ScaleLayout.Regions,
	})}
	if err := driver.run(); err != nil {
		return err
	}
	return driver.finish()
}

func (d *scaleDriver) run() error {
	if err := d.fleet.AcceptFirst(); err != nil {
		return err
	}
	started := time.Now()
	if err := d.forAll(func(address string) error { return experiment.PutJSON(address, "/start", nil) }); err != nil {
		return err
	}
	if _, err := d.settle(3 * time.Minute); err != nil {
		return fmt.Errorf("at the start: %w", err)
	}
	d.figures.StartMillis = time.Since(started).Milliseconds()
	experiment.Results.Info("scale.started", "hollow", d.figures.Hollow, "started_ms", d.figures.StartMillis)
	time.Sleep(3 * time.Second)
	stopCalls := func() {}
	defer func() { stopCalls() }()
	phases := []struct {
		name string
		run  func(ctx context.Context) error
		rate float64
		wait time.Duration
	}{
		{"steady", nil, dailyChangeRate, d.command.Steady},
		{"fast", d.restartNowAndThen, fastRate, d.command.Fast},
		{"herd", d.herd, dailyChangeRate * 2, 12 * time.Second},
		{"rack", d.rack, dailyChangeRate * 2, 8 * time.Second},
		{"zone-cut", d.cut(topology.ScaleLayout.Zones[5]), dailyChangeRate * 2, 12 * time.Second},
		{"region-cut", d.cut(topology.ScaleLayout.Regions[len(topology.ScaleLayout.Regions)-1]), dailyChangeRate * 2, 12 * time.Second},
		{"outage", d.outage, 0, 12 * time.Second},
	}
	for _, phase := range phases {
		if !d.wants(phase.name) {
			continue
		}
		if err := d.phase(phase.name, phase.run, phase.rate, phase.wait); err != nil {
			return fmt.Errorf("%s: %w", phase.name, err)
		}
		if phase.name == "steady" {
			// The budgets are about control, so calls begin after the phase
			// that they are judged by.
			stopCalls = d.startCalls()
		}
	}
	return nil
}

func (d *scaleDriver) wants(phase string) bool {
	if len(d.command.Phases) == 0 {
		return true
	}
	for _, wanted := range d.command.Phases {
		if wanted == phase {
			return true
		}
	}
	return false
}

// forAll calls function for every hollow process at once.
func (d *scaleDriver) forAll(function func(address string) error) error {
	failures := make(chan error, len(d.command.Hollow))
	for _, address := range d.command.Hollow {
		go func() { failures <- function(address) }()
	}
	var first error
	for range d.command.Hollow {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// gather asks every hollow process for its report.
func (d *scaleDriver) gather(convergence bool) ([]HollowReport, error) {
	path := "/report"
	if convergence {
		path += "?convergence=1"
	}
	var mutex sync.Mutex
	var reports []HollowReport
	err := d.forAll(func(address string) error {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		var report HollowReport
		if err := json.NewDecoder(response.Body).Decode(&report); err != nil {
			return err
		}
		mutex.Lock()
		defer mutex.Unlock()
		reports = append(reports, report)
		return nil
	})
	return reports, err
}

// settle waits until every daemon that is up has the newest revision in force.
func (d *scaleDriver) settle(limit time.Duration) (time.Duration, error) {
	started := time.Now()
	for {
		reports, err := d.gather(false)
		if err != nil {
			return 0, err
		}
		nodes, behind, example := 0, 0, HollowNode{}
		for _, report := range reports {
			for _, node := range report.Nodes {
				nodes++
				if !node.Down && node.InForce < d.fleet.Revision() {
					behind++
					example = node
				}
			}
		}
		d.figures.Hollow = nodes
		if behind == 0 {
			return time.Since(started), nil
		}
		if time.Since(started) > limit {
			return 0, fmt.Errorf("%d of %d daemons lack revision %d after %s, such as %+v", behind, nodes, d.fleet.Revision(), limit, example)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// change accepts one change and tells every process when.
func (d *scaleDriver) change() error {
	at := time.Now()
	if err := d.fleet.Change(); err != nil {
		return err
	}
	accepted := Accepted{Revision: d.fleet.Revision(), UnixNanos: at.UnixNano()}
	return d.forAll(func(address string) error { return experiment.PutJSON(address, "/accepted", accepted) })
}

// phase makes changes at a rate while a disturbance runs, and records figures.
func (d *scaleDriver) phase(name string, disturb func(context.Context) error, rate float64, length time.Duration) error {
	before, err := d.gather(true)
	if err != nil {
		return err
	}
	realBefore := d.sampleReal()
	requests := d.sourceLoad().Requests
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	disturbed := make(chan error, 1)
	go func() {
		if disturb == nil {
			disturbed <- nil
			return
		}
		disturbed <- disturb(ctx)
	}()
	changes, err := d.changeAt(ctx, rate)
	if err != nil {
		return err
	}
	if err := <-disturbed; err != nil {
		return err
	}
	if err := d.change(); err != nil {
		return err
	}
	settled, err := d.settle(2 * time.Minute)
	if err != nil {
		return err
	}
	elapsed := time.Since(started)
	after, err := d.gather(true)
	if err != nil {
		return err
	}
	figures := summarize(name, before, after, elapsed)
	figures.Changes = changes + 1
	figures.SettledMillis = settled.Milliseconds()
	figures.SourceRequests = float64(d.sourceLoad().Requests-requests) / elapsed.Seconds()
	d.figures.Phases = append(d.figures.Phases, figures)
	if name == "steady" {
		d.noteSteady(figures, before, after, elapsed)
	}
	d.noteReal(name, realBefore, d.sampleReal(), elapsed)
	printPhase(figures)
	return nil
}

func (d *scaleDriver) changeAt(ctx context.Context, rate float64) (changes int, err error) {
	if rate <= 0 {
		<-ctx.Done()
		return 0, nil
	}
	interval := time.Duration(float64(time.Second) / rate)
	for next := time.Now(); ctx.Err() == nil; next = next.Add(interval) {
		if !callload.SleepUntil(ctx, next) {
			return changes, nil
		}
		if err := d.change(); err != nil {
			return changes, err
		}
		changes++
	}
	return changes, nil
}

// sourceLoad asks the platform stand-in what it bore.
func (d *scaleDriver) sourceLoad() objectapistub.Load {
	var load objectapistub.Load
	response, err := http.Get("http://" + d.command.Platform + "/lab/load")
	if err != nil {
		return load
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&load)
	return load
}

// finish judges the run against the budgets, prints the result and stores the
// figures.
func (d *scaleDriver) finish() error {
	d.figures.Real = len(d.command.Real)
	d.figures.SourceReadersPeak = d.sourceLoad().PeakWatchers
	reports, err := d.gather(false)
	if err != nil {
		return err
	}
	for _, report := range reports {
		d.figures.Violations = append(d.figures.Violations, report.Violations...)
	}
	for _, phase := range d.figures.Phases {
		switch phase.Phase {
		case "steady":
			d.figures.P99Millis = phase.P99Millis
		case "herd":
			d.figures.HerdP99Millis = phase.P99Millis
		}
	}
	d.judge()
	if err := d.store(); err != nil {
		return err
	}
	for _, violation := range d.figures.Violations {
		experiment.Results.Info("scale.violation", "detail", violation)
	}
	figures := &d.figures
	experiment.Results.Info("scale.result", "hollow", figures.Hollow, "real", figures.Real,
		"p99_convergence_ms", figures.P99Millis, "herd_p99_convergence_ms", figures.HerdP99Millis,
		"max_node_bytes_per_second", figures.MaxNodeBytesPerSec, "max_node_core_percent", figures.MaxNodeCorePercent,
		"max_node_mem_mb", figures.MaxNodeMemoryMB, "source_readers_peak", figures.SourceReadersPeak,
		"calls_done", figures.CallsDone, "calls_not_done", figures.CallsNotDone, "violations", len(figures.Violations))
	if len(figures.MissedBudgets)+len(figures.Violations) > 0 {
		return fmt.Errorf("missed: %s; %d violations", strings.Join(figures.MissedBudgets, ", "), len(figures.Violations))
	}
	return nil
}

func (d *scaleDriver) judge() {
	budget := d.command.Budget
	checks := []struct {
		name          string
		value, budget float64
	}{
		{"p99_convergence_ms", d.figures.P99Millis, experiment.Millis(budget.ConvergenceP99.Microseconds())},
		{"herd_p99_convergence_ms", d.figures.HerdP99Millis, experiment.Millis(budget.HerdP99.Microseconds())},
		{"max_node_bytes_per_second", d.figures.MaxNodeBytesPerSec, budget.NodeBytes},
		{"max_node_core_percent", d.figures.MaxNodeCorePercent, budget.CorePercent},
		{"max_node_mem_mb", d.figures.MaxNodeMemoryMB, budget.MemoryMB},
		{"source_readers_peak", float64(d.figures.SourceReadersPeak), float64(budget.Readers)},
		{"calls_wrong", float64(d.figures.CallsWrong), 0},
	}
	for _, check := range checks {
		if check.value > check.budget {
			missed := fmt.Sprintf("%s %.1f above %.1f", check.name, check.value, check.budget)
			d.figures.MissedBudgets = append(d.figures.MissedBudgets, missed)
			experiment.Results.Info("scale.budget_missed", "figure", check.name, "value", check.value, "budget", check.budget)
		}
	}
}

func (d *scaleDriver) store() error {
	if d.command.Output == "" {
		return nil
	}
	return experiment.WriteIndented(d.command.Output, d.figures)
}
