package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

var (
	firstSeed           = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount           = flag.Int("soak.seeds", 2, "number of seeds of the soak")
	dayLength           = flag.Duration("soak.length", 10*time.Second, "length of each day of the soak")
	machines            = flag.Int("soak.machines", 6, "number of daemons of each day")
	extraSignalsEnabled = flag.Bool("soak.repeated", true, "send signals during stops")
	raceEnabled         = flag.Bool("soak.race", false, "build the daemons with the race detector; a data race ends them")
	verbose             = flag.Bool("soak.verbose", false, "print the lines of the daemons")
)

// waitTimeout is the timeout of waits for events that must occur. No test asserts how long they took.
const waitTimeout = time.Minute

// options returns the options of a site with count machines. The service time is longer than
// promise.Bounds.LossSlack, so that the ledger does not excuse a request that a daemon read and dropped.
func options(launch day.Launch, seed uint64, count int) day.Options {
	options := day.DefaultOptions()
	options.Machines = nil
	services := []string{"desk", "desk", "yard"}
	zones := []string{"a", "b", "c"}
	for index := range count {
		options.Machines = append(options.Machines, day.Placement{Zone: zones[index%len(zones)], Service: services[index/len(zones)%len(services)]})
	}
	if count < len(zones)*len(services) {
		for index := range options.Machines {
			options.Machines[index].Service = []string{"desk", "yard"}[index%2]
		}
	}
	options.ServiceTime, options.Slots = 250*time.Millisecond, 24
	options.Launch, options.Seed = launch, seed
	// Where instances state in their answers that they leave, a daemon that has forgotten it learns of it again.
	options.LeavingUnstated = seed%2 == 1
	return options
}

// callerGroups returns groups of callers with persistent connections: one sends each request after the
// answer to the last, the others pipeline requests.
func callerGroups(connections int) []client.PersistentCallers {
	classes := day.StandardClasses(1)
	look, order, file := classes[0], classes[1], classes[2]
	look.CallPath = ""
	quick, long := look, look
	quick.AnswerBytes = 100
	long.AnswerBytes = 300_000
	return []client.PersistentCallers{
		{Classes: []client.Class{look, order, file}, Connections: connections, PipelineDepth: 1, MeanInterval: 50 * time.Millisecond},
		{Classes: []client.Class{look, quick}, Connections: connections, PipelineDepth: 4, MeanInterval: 60 * time.Millisecond},
		{Classes: []client.Class{look, order, look, file}, Connections: connections, PipelineDepth: 3, MeanInterval: 60 * time.Millisecond},
		{Classes: []client.Class{long, look}, Connections: 1, PipelineDepth: 2, MeanInterval: 100 * time.Millisecond, BytesPerSecond: 1_250_000},
	}
}

// soakDay is a day of planned work and faults with daemons in separate processes.
type soakDay struct {
	t      *testing.T
	site   *day.Site
	random *rand.Rand
	// mutex protects the fields below.
	mutex sync.Mutex
	stops int
	exits map[string]int
	// unhandledHangups counts the processes that a SIGHUP ended before the program handled it.
	unhandledHangups int
}

// TestPlannedWorkLosesNoRequest plays days of overlapping planned work: daemons are restarted and get
// further signals while they stop, configurations change, instances are replaced, and the store is
// unavailable for a while. No request that a daemon had read may be lost.
func TestPlannedWorkLosesNoRequest(t *testing.T) { playEachSeed(t, nil) }

// TestFaultsBreakNoPromise adds unplanned faults: daemons are killed, one or half of them at a time, and
// suspended, some for longer than the contact time. Requests may then end without an answer; all other
// promises must hold, and the site must recover.
func TestFaultsBreakNoPromise(t *testing.T) {
	playEachSeed(t, func(played *soakDay) []disturbance { return []disturbance{played.kills, played.pauses} })
}

// disturbance repeats one kind of planned work or fault until its context ends.
type disturbance func(ctx context.Context, random *rand.Rand)

// playEachSeed plays a day of planned work for each seed, with extra disturbances unless that is nil.
func playEachSeed(t *testing.T, extraDisturbances func(*soakDay) []disturbance) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed, extraDisturbances) })
	}
}

func play(t *testing.T, seed uint64, extra func(*soakDay) []disturbance) {
	processes := newLauncher(t)
	processes.blockedOutput = map[string]bool{"machine-b-2": true}
	ctx, cancel := context.WithTimeout(context.Background(), *dayLength+waitTimeout)
	defer cancel()
	site, err := day.Start(ctx, options(processes.launch, seed, *machines), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	tally := client.NewTally()
	played := &soakDay{t: t, site: site, random: rand.New(rand.NewPCG(seed, 1)), exits: map[string]int{}}
	load := &client.Load{PersistentCallers: callerGroups(max(1, 12 / *machines)), Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: seed}
	dayCtx, end := context.WithTimeout(ctx, *dayLength)
	defer end()
	var running sync.WaitGroup
	running.Go(func() { load.Run(dayCtx) })
	running.Go(func() { played.watchExits(dayCtx) })
	running.Go(func() { site.Probe(dayCtx, seed) })
	disturbances := []disturbance{played.sighups, played.configurationChanges, played.instanceReplacements, played.storeFaults, played.scaleIns, played.storeRestores, played.watchRevisions, played.malformedData}
	for range max(2, *machines/4) {
		disturbances = append(disturbances, played.stopInTurn)
	}
	if extra != nil {
		disturbances = append(disturbances, extra(played)...)
	}
	// Appended last, so that the draws of the others stay those of the same seed without it.
	disturbances = append(disturbances, played.statedLimits, played.invalidConfigurations, played.leavesWithLateHeartbeats)
	for _, disturb := range disturbances {
		random := rand.New(rand.NewPCG(seed, played.random.Uint64()))
		running.Go(func() { disturb(dayCtx, random) })
	}
	running.Wait()
	played.awaitRecovery(ctx)
	added, addedServed := site.Versions.Finish()
	breaches := site.Ledger.Breaches()
	t.Logf("requests on added routes: %d, served %d", added, addedServed)
	t.Logf("served %d, refused %d, failed %d; stops %d, exits %v, ended by a SIGHUP before the program handled it %d; broken promises %d",
		tally.Served.Load(), tally.Refused.Load(), tally.Failed.Load(), played.stops, played.exits, played.unhandledHangups, len(breaches))
	peak, node := processes.peakMemory()
	t.Logf("processes started %d, peak memory %d kB at %s", len(processes.started), peak, node)
	t.Logf("requests excused for ending without an answer: %v", site.Ledger.Excused())
	for _, breach := range breaches[:min(len(breaches), 10)] {
		t.Errorf("%+v", breach)
	}
	assert.Assert(t, tally.Served.Load() > 0)
}

// sleepAround sleeps for a random time of 0.5 to 1.5 times mean, and reports false if ctx ends before.
func sleepAround(ctx context.Context, random *rand.Rand, mean time.Duration) bool {
	return sleep.For(ctx, time.Duration((0.5+random.Float64())*float64(mean)))
}

// stopInTurn restarts random daemons, one after the other.
func (d *soakDay) stopInTurn(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		// One in five is stopped again right after its start.
		for range 1 + random.IntN(5)/4 {
			d.stop(machine, d.extraSignals(random), time.Duration(random.Float64()*float64(300*time.Millisecond)))
		}
	}
}

// scaleIns replaces an instance and then restarts its daemon, in the order in which a platform scales
// in: the daemon stops only once the instance has ended.
func (d *soakDay) scaleIns(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 2*time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		_, err := machine.ReplaceInstance(ctx, 1500*time.Millisecond, random.IntN(2) == 0)
		assert.Check(d.t, err)
		d.stop(machine, d.extraSignals(random), 0)
	}
}

// leavesWithLateHeartbeats replaces instances that serve on for some seconds after their leave, while
// heartbeats that they sent before it arrive.
func (d *soakDay) leavesWithLateHeartbeats(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		leaving := machine.Instance()
		skipDrain := random.IntN(2) == 0
		meanDelay := time.Duration(100+random.IntN(900)) * time.Millisecond
		heartbeatRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
		heartbeats, stop := context.WithCancel(ctx)
		var sending sync.WaitGroup
		sending.Go(func() {
			for sleepAround(heartbeats, heartbeatRandom, meanDelay) {
				leaving.SendLateHeartbeat(heartbeats)
			}
		})
		_, err := machine.ReplaceInstance(ctx, 5*time.Second, skipDrain)
		stop()
		sending.Wait()
		assert.Check(d.t, err)
	}
}

// statedLimits makes instances state a rate limit, one after the other, each for three to nine seconds: a
// limit applies only after the contact time and is checked over four seconds.
func (d *soakDay) statedLimits(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		during := time.Duration((3 + 6*random.Float64()) * float64(time.Second))
		machine.Instance().StateRate(ctx, 0.3+5*random.Float64(), during)
	}
}

// delayedSignal is a signal that is sent during a stop; after is its delay from the SIGTERM.
type delayedSignal struct {
	signal syscall.Signal
	after  time.Duration
}

// extraSignals draws up to three further signals that a daemon gets during a stop, as overlapping
// platforms and operators send them.
func (d *soakDay) extraSignals(random *rand.Rand) []delayedSignal {
	var extra []delayedSignal
	if !*extraSignalsEnabled {
		return nil
	}
	kinds := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	for range random.IntN(4) {
		extra = append(extra, delayedSignal{kinds[random.IntN(len(kinds))], time.Duration(20+random.IntN(1500)) * time.Millisecond})
	}
	return extra
}

// stop stops a daemon as planned, sends the extra signals meanwhile, and starts it again after down.
func (d *soakDay) stop(machine *day.Machine, extra []delayedSignal, down time.Duration) {
	running, isProcess := machine.Daemon().(*process)
	if !isProcess {
		// Another disturbance has stopped it.
		return
	}
	for _, next := range extra {
		timer := time.AfterFunc(next.after, func() { running.signal(next.signal) })
		defer timer.Stop()
	}
	_, err := machine.RestartDaemon(down)
	assert.Check(d.t, err, "%s did not start again", machine.Name)
	d.countExit(machine, running, exitsOfStops)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stops++
}

// kills kills one daemon, or half of them in one case in four, and starts them again.
func (d *soakDay) kills(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 2*time.Second) {
		count := 1
		if random.IntN(4) == 0 {
			count = len(d.site.Machines) / 2
		}
		down := time.Duration(random.Float64() * float64(300*time.Millisecond))
		var killing sync.WaitGroup
		for _, index := range random.Perm(len(d.site.Machines))[:count] {
			killing.Go(func() { assert.Check(d.t, d.site.Machines[index].Kill(down)) })
		}
		killing.Wait()
	}
}

// pauses suspends a daemon for 0.5 to 1.5 times the contact time.
func (d *soakDay) pauses(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 2*time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		running, isProcess := machine.Daemon().(*process)
		if !isProcess {
			continue
		}
		address := running.Addresses().Caller
		d.site.Ledger.DaemonsKilled(time.Now())
		d.site.Versions.DaemonDisturbed(address, time.Now())
		running.signal(syscall.SIGSTOP)
		sleepAround(context.Background(), random, d.site.ContactTime())
		running.signal(syscall.SIGCONT)
		d.site.Ledger.DaemonsKilled(time.Now())
		d.site.Versions.DaemonDisturbed(address, time.Now())
		d.site.Ledger.DaemonInterrupted(address)
	}
}

// awaitRecovery ends the store's faults, declares a configuration and waits until it is in force and all
// daemons are ready.
func (d *soakDay) awaitRecovery(ctx context.Context) {
	d.site.Store.SetFaults(objectstore.Faults{})
	version, err := d.site.Declare(day.StandardRoutes())
	assert.Check(d.t, err)
	assert.Check(d.t, d.site.AwaitInForce(ctx, version))
	assert.Check(d.t, d.site.AwaitReady(ctx))
}

// sighups sends SIGHUP to random daemons.
func (d *soakDay) sighups(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 300*time.Millisecond) {
		if running, isProcess := d.site.Machines[random.IntN(len(d.site.Machines))].Daemon().(*process); isProcess {
			running.signal(syscall.SIGHUP)
		}
	}
}

// configurationChanges declares bursts of up to five configurations.
func (d *soakDay) configurationChanges(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 700*time.Millisecond) {
		for range 1 + random.IntN(5) {
			_, err := d.site.Declare(day.StandardRoutes())
			assert.Check(d.t, err)
			sleepAround(ctx, random, 20*time.Millisecond)
		}
	}
}

// invalidConfigurations writes a configuration that cannot be used, and a valid one soon after.
func (d *soakDay) invalidConfigurations(ctx context.Context, random *rand.Rand) {
	for sleepAround(ctx, random, 2*time.Second) {
		assert.Check(d.t, d.site.DeclareInvalid())
		sleepAround(ctx, random, 100*time.Millisecond)
		_, err := d.site.Declare(day.StandardRoutes())
		assert.Check(d.t, err)
	}
}

// storeRestores restores the store from a backup that is some seconds old, half of the times after an
// outage.
func (d *soakDay) storeRestores(ctx context.Context, random *rand.Rand) {
	for {
		backup := d.site.Store.TakeBackup()
		if !sleepAround(ctx, random, 2500*time.Millisecond) {
			return
		}
		if random.IntN(2) == 0 {
			d.site.Store.SetFaults(objectstore.Faults{Silent: true})
			sleepAround(ctx, random, 500*time.Millisecond)
			d.site.Store.SetFaults(objectstore.Faults{})
		}
		assert.Check(d.t, d.site.RestoreStore(backup))
	}
}

// pollInterval is the interval between two checks of watchRevisions and of watchExits.
const pollInterval = 200 * time.Millisecond

// watchRevisions checks that no process returns to an earlier configuration revision.
func (d *soakDay) watchRevisions(ctx context.Context, _ *rand.Rand) {
	highest := map[*process]uint64{}
	for sleep.For(ctx, pollInterval) {
		for _, machine := range d.site.Machines {
			running, isProcess := machine.Daemon().(*process)
			if !isProcess {
				continue
			}
			// Revision returns 0 if the process does not answer, because it is stopping or suspended.
			if revision := running.Revision(); revision > 0 {
				assert.Check(d.t, revision >= highest[running], "%s went back from %d to %d", machine.Name, highest[running], revision)
				highest[running] = revision
			}
		}
	}
}

// watchExits restarts a daemon that a SIGHUP ended before its program handled it, as a supervisor does.
// No other process may exit unless a disturbance ends it.
func (d *soakDay) watchExits(ctx context.Context) {
	for sleep.For(ctx, pollInterval) {
		for _, machine := range d.site.Machines {
			running, isProcess := machine.Daemon().(*process)
			if !isProcess || !running.hasExited() {
				continue
			}
			d.countExit(machine, running, nil)
			_, err := machine.RestartDaemon(0)
			assert.Check(d.t, err, "%s did not start again", machine.Name)
		}
	}
}

// exitsOfStops are the statuses of a process that a disturbance stops or kills. Status 1 means that calls
// were cut, which the ledger judges. A signal ends a process that has not begun to catch it.
var exitsOfStops = []string{"exit status 0", "exit status 1", "signal: terminated", "signal: interrupt", "signal: killed"}

// countExit counts the exit of a process. Its status must be one of the allowed ones, unless the process
// was ended by a SIGHUP that the program could not handle yet.
func (d *soakDay) countExit(machine *day.Machine, running *process, allowed []string) {
	status, unhandledHangup := running.exitStatus(d.t), running.endedByUnhandledHangup(d.t)
	assert.Check(d.t, unhandledHangup || slices.Contains(allowed, status), "%s exited unexpectedly: %s\n%s", machine.Name, status, running.output)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.exits[status]++
	if unhandledHangup {
		d.unhandledHangups++
	}
}

// malformedData writes unusable daemon entries to the store, and sends unusable heartbeats under the IDs
// of instances, most of them with the address of another instance.
func (d *soakDay) malformedData(ctx context.Context, random *rand.Rand) {
	for number := 0; sleepAround(ctx, random, 300*time.Millisecond); number++ {
		machine, other := d.site.Machines[random.IntN(len(d.site.Machines))], d.site.Machines[random.IntN(len(d.site.Machines))]
		entry := malformedEntries[random.IntN(len(malformedEntries))]
		assert.Check(d.t, d.site.Store.PutSpec(kindMembers, fmt.Sprintf("spoiled-%d", number%4), entry))
		if number%8 == 0 {
			assert.Check(d.t, d.site.Store.PutText(kindMembers, "spoiled-nested", nestedEntry))
		}
		heartbeat := fmt.Sprintf(malformedHeartbeats[random.IntN(len(malformedHeartbeats))], other.Instance().Address())
		d.putHeartbeat(ctx, machine, machine.Instance().ID(), heartbeat)
	}
}

// malformedEntries are specs of daemon entries that no daemon can decode or use.
var malformedEntries = []any{7, "text", []int{1}, map[string]any{"peer": 5}, map[string]any{"peer": "nowhere", "at": "a", "of": "desk"}, map[string]any{"at": "a"}}

// malformedHeartbeats are bodies of heartbeats that a daemon must not use; %q stands for the address of
// an instance.
var malformedHeartbeats = []string{
	`{"address":%q,"info":{"service":"desk","version":"v1","zone":"a","slots":6},"status":{"state":"resting","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"nobody","version":"v1","zone":"a","slots":6},"status":{"state":"ready","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"desk","version":"v1","zone":"a","slots":"6"},"status":{"state":"ready","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"desk"},"status":{"call-sequence":1000000}}`,
	`{"address":%q`,
}

// putHeartbeat sends a heartbeat to a machine's daemon and ignores failures, as the daemon may be down.
func (d *soakDay) putHeartbeat(ctx context.Context, machine *day.Machine, instance, body string) {
	running, isProcess := machine.Daemon().(*process)
	if !isProcess {
		return
	}
	address := "http://" + running.addresses.Instances + platform.PathInstances + instance
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, address, strings.NewReader(body))
	assert.Check(d.t, err)
	client := http.Client{Timeout: time.Second}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// instanceReplacements shuts down random instances as planned. In turn, an instance is restarted under
// its ID or replaced by a new one.
func (d *soakDay) instanceReplacements(ctx context.Context, random *rand.Rand) {
	for number := 0; sleepAround(ctx, random, 2*time.Second); number++ {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		replace := machine.ReplaceInstance
		if number%2 == 0 {
			replace = machine.RestartInstance
		}
		_, err := replace(ctx, 3*time.Second, random.IntN(3) == 0)
		assert.Check(d.t, err)
	}
}

// storeFaults makes the store fail for a while, for all machines or for one.
func (d *soakDay) storeFaults(ctx context.Context, random *rand.Rand) {
	faults := []objectstore.Faults{{Down: true}, {Silent: true}, {Reset: true}, {Delay: 300 * time.Millisecond}, {DroppedAnswerShare: 0.4, DelayWrites: true}}
	for sleepAround(ctx, random, 1500*time.Millisecond) {
		fault := faults[random.IntN(len(faults))]
		if random.IntN(2) == 0 {
			d.site.SetStoreFaults(fault, d.site.Machines[random.IntN(len(d.site.Machines))])
		} else {
			d.site.Store.SetFaults(fault)
		}
		sleepAround(ctx, random, time.Second)
		d.site.Store.SetFaults(objectstore.Faults{})
	}
}
