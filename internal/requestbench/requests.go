package requestbench

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/backendstub"
	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/meshconfig"
	"github.com/lapisvane/lapisvane/internal/testsite"
)

// RequestsCommand is a command of lapislab.
var _ flags.Commander = (*RequestsCommand)(nil)

// RequestsCommand measures the request path: added latency, fairness, draining
// and overload, each beside a baseline in the same run.
type RequestsCommand struct {
	Profile []string      `long:"profile" description:"profile to run; all by default" choice:"swancycle" choice:"board"`
	Part    []string      `long:"part" description:"part to run; all by default" choice:"latency" choice:"deep" choice:"throughput" choice:"fair" choice:"drain" choice:"overload"`
	Rate    float64       `long:"rate" description:"calls per second for the latency parts" default:"600"`
	Time    time.Duration `long:"time" description:"length of one measurement" default:"2s"`
}

// addedBudget is what lapisvane may add to a call for 99 in 100.
const addedBudget = 1600 * time.Microsecond

// Groups that share the pool in the fairness part, with their shares.
var fairGroups = []struct {
	name    string
	percent uint32
}{{"group-a", 50}, {"group-b", 30}, {"group-c", 20}}

// requestBench is one profile under measurement.
type requestBench struct {
	command *RequestsCommand
	profile testsite.Profile
	site    *testsite.Site
	service string
	outcome []callload.CallResult
	mutex   sync.Mutex
}

// Execute implements flags.Commander.
func (c *RequestsCommand) Execute([]string) error {
	profiles := c.Profile
	if len(profiles) == 0 {
		profiles = []string{testsite.ProfileSwancycle, testsite.ProfileBoard}
	}
	for _, name := range profiles {
		profile, _ := testsite.ProfileNamed(name)
		if err := c.run(profile); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (c *RequestsCommand) run(profile testsite.Profile) error {
	bench, err := startRequestBench(c, profile)
	if err != nil {
		return err
	}
	defer bench.site.Close()
	parts := []struct {
		name string
		run  func() error
	}{
		{"latency", bench.latency}, {"deep", bench.deep}, {"throughput", bench.throughput},
		{"fair", bench.fair}, {"drain", bench.drain}, {"overload", bench.overload},
	}
	for _, part := range parts {
		if !c.wants(part.name) {
			continue
		}
		if err := part.run(); err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return bench.checkLedger()
}

func (c *RequestsCommand) wants(part string) bool {
	if len(c.Part) == 0 {
		return true
	}
	for _, wanted := range c.Part {
		if wanted == part {
			return true
		}
	}
	return false
}

func startRequestBench(command *RequestsCommand, profile testsite.Profile) (*requestBench, error) {
	profile.Distribution = "convergence"
	site, err := testsite.NewSite(profile, logr.Discard())
	if err != nil {
		return nil, err
	}
	bench := &requestBench{command: command, profile: profile, site: site, service: profile.Services[0].Name}
	if err := bench.populate(); err != nil {
		site.Close()
		return nil, err
	}
	return bench, nil
}

// populate starts a daemon beside every back end and accepts the routes.
func (b *requestBench) populate() error {
	index := 0
	for _, shape := range b.profile.Services {
		for number := range shape.Instances {
			name := fmt.Sprintf("%s/%s-%d", shape.Name, shape.Name, number+1)
			service, instance := testsite.SplitBackend(name)
			if _, err := b.site.AddBackend(service, instance); err != nil {
				return err
			}
			zone := b.profile.Zones[index%len(b.profile.Zones)]
			if _, err := b.site.StartDaemon(fmt.Sprintf("machine-%02d", index), zone, []string{"*"}, name); err != nil {
				return err
			}
			index++
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), experiment.SetUpLimit)
	defer cancel()
	revision, err := b.site.Accept(ctx, "bench", b.routes())
	if err != nil {
		return err
	}
	if err := b.site.WaitInForce(ctx, revision); err != nil {
		return err
	}
	for _, shape := range b.profile.Services {
		if err := b.site.WaitEndpoints(ctx, shape.Name, shape.Instances); err != nil {
			return err
		}
	}
	return nil
}

func (b *requestBench) routes() meshconfig.File {
	file := meshconfig.File{}
	for _, shape := range b.profile.Services {
		file.Pools = append(file.Pools, meshconfig.PoolFile{
			Name: shape.Name, Group: "owner", Slots: uint32(b.profile.Slots), ConnectionLimit: uint32(b.profile.Connections),
		})
	}
	for _, group := range fairGroups {
		file.Routes = append(file.Routes, meshconfig.RouteFile{Name: "of-" + group.name, Group: group.name, Pool: b.service, PathPrefix: "/" + group.name})
		file.Shares = append(file.Shares, meshconfig.ShareFile{Name: "share-" + group.name, Group: group.name, Pool: b.service, Percent: group.percent})
	}
	file.Routes = append(file.Routes,
		meshconfig.RouteFile{Name: "lookup", Group: "group-a", Pool: b.service, PathPrefix: "/lookup", Repeatable: true},
		meshconfig.RouteFile{Name: "order", Group: "group-a", Pool: b.service, PathPrefix: "/order"},
		meshconfig.RouteFile{Name: "upload", Group: "group-b", Pool: b.service, PathPrefix: "/upload", Upload: true},
	)
	return file
}

func (b *requestBench) caller(path string, header http.Header) *callload.Caller {
	return &callload.Caller{
		Target: b.site.Daemons["machine-00"].Daemon.Addresses().Caller, Host: "bench.example", Path: path,
		Method: http.MethodPost, Header: header, Client: callload.NewHTTPClient(512),
	}
}

func (b *requestBench) direct(path string, header http.Header) *callload.Caller {
	caller := b.caller(path, header)
	caller.Target = b.site.Backends[fmt.Sprintf("%s/%s-3", b.service, b.service)].Address()
	return caller
}

func workHeader(work time.Duration) http.Header {
	header := http.Header{}
	header.Set(backendstub.HeaderWork, fmt.Sprint(work.Microseconds()))
	return header
}

// keep remembers outcomes for the check against the ledger.
func (b *requestBench) keep(tally *callload.Tally) *callload.Tally {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outcome = append(b.outcome, tally.Outcomes...)
	return tally
}

// checkLedger compares what the callers learned with what ran.
func (b *requestBench) checkLedger() error {
	doubled := len(b.site.Ledger.Doubled())
	falseNotRun, wrong, missing := 0, 0, 0
	for _, one := range b.outcome {
		runs := len(b.site.Ledger.Runs(one.Call))
		switch {
		case one.Outcome == callload.OutcomeNotRun && runs > 0:
			falseNotRun++
		case one.Outcome == callload.OutcomeWrong:
			wrong++
		case one.Outcome == callload.OutcomeDone && runs == 0:
			missing++
		}
	}
	experiment.Results.Info("bench.result", "name", "ledger", "profile", b.profile.Name, "calls", len(b.outcome),
		"doubled", doubled, "false_not_run", falseNotRun, "wrong_answers", wrong, "done_without_run", missing)
	if doubled+falseNotRun+wrong+missing > 0 {
		return fmt.Errorf("the callers' outcomes and the ledger differ")
	}
	return nil
}

// pair runs the same load directly and through lapisvane, in turns, so that
// both see the same machine.
func (b *requestBench) pair(name string, direct, through *callload.Caller) (directTally, throughTally *callload.Tally) {
	const turns = 3
	directTally, throughTally = callload.NewTally(), callload.NewTally()
	b.warm(direct, name+"-direct")
	b.warm(through, name+"-lapisvane")
	for turn := range turns {
		for _, side := range []struct {
			caller *callload.Caller
			tally  *callload.Tally
			path   string
		}{{direct, directTally, "direct"}, {through, throughTally, "lapisvane"}} {
			load := callload.Load{
				Caller: side.caller, Workers: 32, Rate: b.command.Rate, Duration: b.command.Time / turns,
				Name: fmt.Sprintf("%s-%s-%s-%d", b.profile.Name, name, side.path, turn),
			}
			merge(side.tally, b.keep(load.Run(context.Background())))
		}
	}
	return directTally, throughTally
}

// warmTime is how long a path is used before it is measured, so that the cost
// of opening connections is not counted.
const warmTime = 500 * time.Millisecond

func (b *requestBench) warm(caller *callload.Caller, name string) {
	load := callload.Load{Caller: caller, Workers: 32, Duration: warmTime, Name: b.profile.Name + "-warm-" + name}
	b.keep(load.Run(context.Background()))
}

func merge(into, from *callload.Tally) {
	into.Done += from.Done
	into.Wrong += from.Wrong
	into.NotRun += from.NotRun
	into.Unknown += from.Unknown
	into.Latency.Merge(from.Latency)
	into.Elapsed += from.Elapsed
}

func (b *requestBench) printLatency(name string, depth int, direct, through *callload.Tally) {
	for _, side := range []struct {
		path  string
		tally *callload.Tally
	}{{"direct", direct}, {"lapisvane", through}} {
		experiment.Results.Info("bench.result", "name", name, "profile", b.profile.Name, "path", side.path, "depth", depth,
			"calls", side.tally.Total(), "done", side.tally.Done, "rate", b.command.Rate,
			"p50_us", side.tally.Latency.ValueAtQuantile(50), "p99_us", side.tally.Latency.ValueAtQuantile(99),
			"max_us", side.tally.Latency.Max())
	}
	added := through.Latency.ValueAtQuantile(99) - direct.Latency.ValueAtQuantile(99)
	budget := addedBudget.Microseconds() * int64(depth)
	experiment.Results.Info("bench.result", "name", name, "profile", b.profile.Name, "depth", depth,
		"added_p50_us", through.Latency.ValueAtQuantile(50)-direct.Latency.ValueAtQuantile(50),
		"added_p99_us", added, "budget_us", budget, "within", added <= budget)
}

// latency measures what one call through two daemons costs more than one
// straight to the back end. The back end answers at once, because its own
// spread would hide what is measured.
func (b *requestBench) latency() error {
	direct, through := b.pair("latency", b.direct("/order", workHeader(0)), b.caller("/order", workHeader(0)))
	b.printLatency("added_latency", 1, direct, through)
	return nil
}

// deep measures chains of six calls.
func (b *requestBench) deep() error {
	const depth = 6
	header := workHeader(0)
	header.Set(backendstub.HeaderDepth, fmt.Sprint(depth-1))
	rate := b.command.Rate
	b.command.Rate = rate / depth
	defer func() { b.command.Rate = rate }()

	through := b.caller("/order", header)
	throughTally := callload.NewTally()
	directTally := callload.NewTally()
	const turns = 3
	b.linkBackends(true)
	b.warm(b.direct("/order", header), "deep-direct")
	b.linkBackends(false)
	b.warm(through, "deep-lapisvane")
	for turn := range turns {
		b.linkBackends(true)
		load := callload.Load{Caller: b.direct("/order", header), Workers: 16, Rate: b.command.Rate, Duration: b.command.Time / turns, Name: fmt.Sprintf("%s-deep-direct-%d", b.profile.Name, turn)}
		merge(directTally, b.keep(load.Run(context.Background())))
		b.linkBackends(false)
		load.Caller, load.Name = through, fmt.Sprintf("%s-deep-lapisvane-%d", b.profile.Name, turn)
		merge(throughTally, b.keep(load.Run(context.Background())))
	}
	b.printLatency("added_latency_deep", depth, directTally, throughTally)
	return nil
}

// linkBackends lets each back end call the next one directly, or through the
// daemon beside it.
func (b *requestBench) linkBackends(direct bool) {
	instances := b.profile.Services[0].Instances
	for number := range instances {
		name := fmt.Sprintf("%s/%s-%d", b.service, b.service, number+1)
		next := b.site.Backends[fmt.Sprintf("%s/%s-%d", b.service, b.service, (number+1)%instances+1)].Address()
		if !direct {
			next = b.site.Daemons[fmt.Sprintf("machine-%02d", number)].Daemon.Addresses().Caller
		}
		b.site.Backends[name].SetNext(next)
	}
}

// throughput measures calls per second of processor time, callers and back ends
// included in both cases.
func (b *requestBench) throughput() error {
	for _, side := range []struct {
		path   string
		caller *callload.Caller
	}{{"direct", b.direct("/lookup", workHeader(0))}, {"lapisvane", b.caller("/lookup", workHeader(0))}} {
		before := experiment.ProcessorTime()
		load := callload.Load{Caller: side.caller, Workers: 32, Duration: b.command.Time / 2, Name: b.profile.Name + "-throughput-" + side.path}
		tally := load.Run(context.Background())
		used := experiment.ProcessorTime() - before
		experiment.Results.Info("bench.result", "name", "throughput", "profile", b.profile.Name, "path", side.path,
			"calls_per_second", float64(tally.Done)/tally.Elapsed.Seconds(),
			"calls_per_core_second", float64(tally.Done)/used.Seconds(), "cores", runtime.NumCPU())
	}
	return nil
}

// maxCallsCut is what a drain may cut.
const maxCallsCut = 0
