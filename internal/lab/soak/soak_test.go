package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
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
	firstSeed = flag.Uint64("soak.seed", 1, "first seed of the soak")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds of the soak")
	dayLength = flag.Duration("soak.length", 10*time.Second, "length of each day of the soak")
	machines  = flag.Int("soak.machines", 6, "number of daemons of each day")
	repeated  = flag.Bool("soak.repeated", true, "send signals during stops")
	verbose   = flag.Bool("soak.verbose", false, "print the lines of the daemons")
)

// patience bounds waits for what must come; no test asserts how long it took.
const patience = time.Minute

// options returns a site whose instances work for longer than a request may cross the end of its
// connection, so that a request that is read and dropped shows.
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
	return options
}

// callers keep their connections: some send one request after the other, some send ahead.
func callers(connections int) []client.Kept {
	classes := day.StandardClasses(1)
	look, order, file := classes[0], classes[1], classes[2]
	look.CallPath = ""
	quick, long := look, look
	quick.AnswerBytes = 100
	long.AnswerBytes = 300_000
	return []client.Kept{
		{Classes: []client.Class{look, order, file}, Connections: connections, Ahead: 1, Pause: 50 * time.Millisecond},
		{Classes: []client.Class{look, quick}, Connections: connections, Ahead: 4, Pause: 60 * time.Millisecond},
		{Classes: []client.Class{look, order, look, file}, Connections: connections, Ahead: 3, Pause: 60 * time.Millisecond},
		{Classes: []client.Class{long, look}, Connections: 1, Ahead: 2, Pause: 100 * time.Millisecond, BytesPerSecond: 1_250_000},
	}
}

// soakDay is a day of planned work on real processes.
type soakDay struct {
	t      *testing.T
	site   *day.Site
	random *rand.Rand
	// mutex protects everything below.
	mutex sync.Mutex
	stops int
	exits map[string]int
}

// TestPlannedWorkLosesNoRequest plays days of planned work in series that overlap: daemons are
// stopped and started again, signals come twice and in between, configurations change, instances
// are replaced, the store is away for a while. Nothing of that may cost a request that a daemon
// had read.
func TestPlannedWorkLosesNoRequest(t *testing.T) { eachSeed(t, nil) }

// TestFaultsBreakNoPromise adds what nobody plans: processes are killed, alone and in herds, and
// stand still for longer than the contact time. Requests may then end without an answer; all other
// promises hold, and the site serves again.
func TestFaultsBreakNoPromise(t *testing.T) {
	eachSeed(t, func(played *soakDay) []series { return []series{played.kills, played.pauses} })
}

// series is a row of disturbances, which goes on until its context ends.
type series func(ctx context.Context, random *rand.Rand)

// eachSeed plays a day of planned work for each seed, with further disturbances.
func eachSeed(t *testing.T, further func(*soakDay) []series) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(t, seed, further) })
	}
}

func play(t *testing.T, seed uint64, further func(*soakDay) []series) {
	started := newLauncher(t)
	started.blocked = map[string]bool{"machine-b-2": true}
	ctx, cancel := context.WithTimeout(context.Background(), *dayLength+patience)
	defer cancel()
	site, err := day.Start(ctx, options(started.launch, seed, *machines), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	tally := client.NewTally()
	played := &soakDay{t: t, site: site, random: rand.New(rand.NewPCG(seed, 1)), exits: map[string]int{}}
	load := &client.Load{Kept: callers(max(1, 12 / *machines)), Targets: site.Targets(), Ledger: site.Ledger, Tally: tally, Seed: seed}
	dayCtx, end := context.WithTimeout(ctx, *dayLength)
	defer end()
	var running sync.WaitGroup
	running.Go(func() { load.Run(dayCtx) })
	running.Go(func() { played.watchEnds(dayCtx) })
	disturbances := []series{played.hangUps, played.changes, played.releases, played.storeFaults, played.scaleIns, played.storeReturns, played.watchRevisions, played.spoils}
	for range max(2, *machines/4) {
		disturbances = append(disturbances, played.stopInTurn)
	}
	if further != nil {
		disturbances = append(disturbances, further(played)...)
	}
	for _, disturb := range disturbances {
		random := rand.New(rand.NewPCG(seed, played.random.Uint64()))
		running.Go(func() { disturb(dayCtx, random) })
	}
	running.Wait()
	played.recover(ctx)
	breaches := site.Ledger.Breaches()
	t.Logf("served %d, refused %d, failed %d; stops %d, exits %v; broken promises %d",
		tally.Served.Load(), tally.Refused.Load(), tally.Failed.Load(), played.stops, played.exits, len(breaches))
	t.Logf("ended without their answer and excused: %v", site.Ledger.Excused())
	for _, breach := range breaches[:min(len(breaches), 10)] {
		t.Errorf("%+v", breach)
	}
	assert.Assert(t, tally.Served.Load() > 0)
}

// pause waits for a random time around a mean.
func pause(ctx context.Context, random *rand.Rand, mean time.Duration) bool {
	return sleep.For(ctx, time.Duration((0.5+random.Float64())*float64(mean)))
}

// stopInTurn stops one daemon after the other and starts it again.
func (d *soakDay) stopInTurn(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		// Some are stopped again while they start.
		for range 1 + random.IntN(5)/4 {
			d.stop(machine, d.extraSignals(random), time.Duration(random.Float64()*float64(300*time.Millisecond)))
		}
	}
}

// scaleIns takes machines away as platforms do: the instance leaves, and its daemon is stopped once
// the instance has ended. Both come back after a while.
func (d *soakDay) scaleIns(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 2*time.Second) {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		_, err := machine.Release(ctx, 1500*time.Millisecond, random.IntN(2) == 0)
		assert.Check(d.t, err)
		d.stop(machine, d.extraSignals(random), 0)
	}
}

// extraSignal is sent a while after the SIGTERM of a stop.
type extraSignal struct {
	signal syscall.Signal
	after  time.Duration
}

// extraSignals draws what comes during a stop: often nothing, else signals that platforms and
// operators send twice or in between.
func (d *soakDay) extraSignals(random *rand.Rand) []extraSignal {
	var extra []extraSignal
	if !*repeated {
		return nil
	}
	kinds := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	for range random.IntN(4) {
		extra = append(extra, extraSignal{kinds[random.IntN(len(kinds))], time.Duration(20+random.IntN(1500)) * time.Millisecond})
	}
	return extra
}

// stop carries out one planned stop and the start after it.
func (d *soakDay) stop(machine *day.Machine, extra []extraSignal, down time.Duration) {
	process, running := machine.Daemon().(*process)
	if !running {
		// Another series stops it.
		return
	}
	for _, next := range extra {
		timer := time.AfterFunc(next.after, func() { process.signal(next.signal) })
		defer timer.Stop()
	}
	_, err := machine.Roll(down)
	assert.Check(d.t, err, "%s did not start again", machine.Name)
	d.noteExit(process.exit(d.t))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stops++
}

// kills ends daemons at once: one, or half of them.
func (d *soakDay) kills(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 2*time.Second) {
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

// pauses makes a daemon stand still for up to twice the contact time.
func (d *soakDay) pauses(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 2*time.Second) {
		process, running := d.site.Machines[random.IntN(len(d.site.Machines))].Daemon().(*process)
		if !running {
			continue
		}
		d.site.Ledger.DaemonsKilled(time.Now())
		process.signal(syscall.SIGSTOP)
		pause(context.Background(), random, d.site.Contact())
		process.signal(syscall.SIGCONT)
		d.site.Ledger.DaemonsKilled(time.Now())
	}
}

// recover waits until the site is whole again and the newest configuration is in force.
func (d *soakDay) recover(ctx context.Context) {
	d.site.Store.SetFaults(objectstore.Faults{})
	version, err := d.site.Declare(day.StandardRoutes())
	assert.Check(d.t, err)
	assert.Check(d.t, d.site.AwaitInForce(ctx, version))
	assert.Check(d.t, d.site.AwaitReady(ctx))
}

// hangUps sends SIGHUP to some daemons.
func (d *soakDay) hangUps(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 300*time.Millisecond) {
		if process, running := d.site.Machines[random.IntN(len(d.site.Machines))].Daemon().(*process); running {
			process.signal(syscall.SIGHUP)
		}
	}
}

// changes declares one configuration after the other, some in quick succession.
func (d *soakDay) changes(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 700*time.Millisecond) {
		for range 1 + random.IntN(5) {
			_, err := d.site.Declare(day.StandardRoutes())
			assert.Check(d.t, err)
			pause(ctx, random, 20*time.Millisecond)
		}
	}
}

// storeReturns makes the store come back from a copy of some seconds ago, now and then after it was
// away.
func (d *soakDay) storeReturns(ctx context.Context, random *rand.Rand) {
	for {
		held := d.site.Store.KeepCopy()
		if !pause(ctx, random, 2500*time.Millisecond) {
			return
		}
		if random.IntN(2) == 0 {
			d.site.Store.SetFaults(objectstore.Faults{Silent: true})
			pause(ctx, random, 500*time.Millisecond)
			d.site.Store.SetFaults(objectstore.Faults{})
		}
		assert.Check(d.t, d.site.ReturnStore(held))
	}
}

// revisionPoll is how often watchRevisions looks.
const revisionPoll = 200 * time.Millisecond

// watchRevisions checks that no process goes back to an earlier configuration.
func (d *soakDay) watchRevisions(ctx context.Context, _ *rand.Rand) {
	newest := map[*process]uint64{}
	for sleep.For(ctx, revisionPoll) {
		for _, machine := range d.site.Machines {
			running, isProcess := machine.Daemon().(*process)
			if !isProcess {
				continue
			}
			// A process that is ending or standing still answers nothing, which reads as 0.
			if revision := running.Revision(); revision > 0 {
				assert.Check(d.t, revision >= newest[running], "%s went back from %d to %d", machine.Name, newest[running], revision)
				newest[running] = revision
			}
		}
	}
}

// endedByHangUp is how a process ends that gets a SIGHUP before the first line of its program: nothing
// can catch it then, and nothing was accepted yet.
const endedByHangUp = "signal: hangup"

// watchEnds starts a daemon again that was hung up before its program ran, as a supervisor does. No
// other process may end unless the day ends it.
func (d *soakDay) watchEnds(ctx context.Context) {
	for sleep.For(ctx, revisionPoll) {
		for _, machine := range d.site.Machines {
			process, running := machine.Daemon().(*process)
			if !running || !process.hasEnded() {
				continue
			}
			how := process.exit(d.t)
			assert.Check(d.t, how == endedByHangUp, "%s ended by itself: %s\n%s", machine.Name, how, process.output)
			d.noteExit(how)
			_, err := machine.Roll(0)
			assert.Check(d.t, err, "%s did not start again", machine.Name)
		}
	}
}

func (d *soakDay) noteExit(how string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.exits[how]++
}

// spoils writes what no daemon and no instance writes: entries of the store that cannot be used, and
// heartbeats in the name of instances, some of them at addresses that others have.
func (d *soakDay) spoils(ctx context.Context, random *rand.Rand) {
	for number := 0; pause(ctx, random, 300*time.Millisecond); number++ {
		machine, other := d.site.Machines[random.IntN(len(d.site.Machines))], d.site.Machines[random.IntN(len(d.site.Machines))]
		entry := spoiledEntries[random.IntN(len(spoiledEntries))]
		assert.Check(d.t, d.site.Store.PutSpec("lapisvane-members", fmt.Sprintf("spoiled-%d", number%4), entry))
		heartbeat := fmt.Sprintf(spoiledHeartbeats[random.IntN(len(spoiledHeartbeats))], other.Instance().Address())
		d.putHeartbeat(ctx, machine, machine.Instance().ID(), heartbeat)
	}
}

// spoiledEntries are specs of daemons' entries that nobody can use.
var spoiledEntries = []any{7, "text", []int{1}, map[string]any{"peer": 5}, map[string]any{"peer": "nowhere", "at": "a", "of": "desk"}, map[string]any{"at": "a"}}

// spoiledHeartbeats name no instance to use; the address of another one takes the place of %s.
var spoiledHeartbeats = []string{
	`{"address":%q,"info":{"service":"desk","version":"v1","zone":"a","slots":6},"status":{"state":"resting","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"nobody","version":"v1","zone":"a","slots":6},"status":{"state":"ready","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"desk","version":"v1","zone":"a","slots":"6"},"status":{"state":"ready","call-sequence":1000000,"cold-remaining-ms":0}}`,
	`{"address":%q,"info":{"service":"desk"},"status":{"call-sequence":1000000}}`,
	`{"address":%q`,
}

// putHeartbeat sends a heartbeat to a machine's daemon, which may be gone.
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

// releases ends one instance after the other as planned; another one follows, or a new start of it.
func (d *soakDay) releases(ctx context.Context, random *rand.Rand) {
	for number := 0; pause(ctx, random, 2*time.Second); number++ {
		machine := d.site.Machines[random.IntN(len(d.site.Machines))]
		leave := machine.Release
		if number%2 == 0 {
			leave = machine.Return
		}
		_, err := leave(ctx, 3*time.Second, random.IntN(3) == 0)
		assert.Check(d.t, err)
	}
}

// storeFaults makes the store fail for a while, everywhere or for some.
func (d *soakDay) storeFaults(ctx context.Context, random *rand.Rand) {
	faults := []objectstore.Faults{{Down: true}, {Silent: true}, {Reset: true}, {Delay: 300 * time.Millisecond}, {LoseWrites: 0.4, Late: true}}
	for pause(ctx, random, 1500*time.Millisecond) {
		fault := faults[random.IntN(len(faults))]
		if random.IntN(2) == 0 {
			d.site.FailStoreFor(fault, d.site.Machines[random.IntN(len(d.site.Machines))])
		} else {
			d.site.Store.SetFaults(fault)
		}
		pause(ctx, random, time.Second)
		d.site.Store.SetFaults(objectstore.Faults{})
	}
}
