package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

var (
	livesSeeds  = flag.Int("soak.lives", 2, "number of seeds of the lives, beginning with soak.seed")
	livesLength = flag.Duration("soak.lives_length", time.Second, "time in which a daemon begins disturbances, before and after the start of all at once")
)

// memoryBoundKB is half of the memory of a machine, 284 MB.
const memoryBoundKB = 284_000 / 2

// TestNoProcessEndsUnasked plays the lives of twelve daemons: successors start on the addresses of
// predecessors that drain, serve, are suspended or are killed, or that another process has taken; signals
// come at any moment of a start, settings files are rewritten in pieces, all start at once, and the store
// is away. Only processes that the test asked to end may end, and at the end all are ready.
func TestNoProcessEndsUnasked(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*livesSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playLives(t, seed) })
	}
}

// livesDay is a day whose daemons are started and ended by the test, not by the emulated platform.
type livesDay struct {
	t         *testing.T
	seed      uint64
	processes *launcher
	nodes     []*node
	judging   sync.WaitGroup
	// starts counts the processes, unhandledHangups those that a SIGHUP ended before the program handled it.
	starts, unhandledHangups atomic.Int64
}

// node is a machine and its processes. One goroutine uses it.
type node struct {
	day    *livesDay
	path   string
	random *rand.Rand
	// text is the content of the settings file.
	text []byte
	// newest is the process that serves or will serve.
	newest *life
}

// life is a process whose end is judged.
type life struct {
	*process
	// asked is true once the test has asked the process to end.
	asked atomic.Bool
}

func playLives(t *testing.T, seed uint64) {
	played := &livesDay{t: t, seed: seed, processes: newLauncher(t)}
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitTimeout)
	defer cancel()
	site, err := day.Start(ctx, livesOptions(played, seed), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	defer played.end()
	assert.NilError(t, err)
	load := &client.Load{PersistentCallers: callerGroups(1), Targets: site.Targets(), Ledger: site.Ledger, Tally: client.NewTally(), Seed: seed}
	loadCtx, endLoad := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { load.Run(loadCtx) })
	background.Go(func() { loseStore(loadCtx, site.Store, rand.New(rand.NewPCG(seed, 1))) })
	played.onEachNode((*node).disturb)
	played.startAllAtOnce()
	played.onEachNode((*node).disturb)
	endLoad()
	background.Wait()
	if t.Failed() {
		return
	}
	(&soakDay{t: t, site: site}).awaitRecovery(ctx)
	for _, each := range played.nodes {
		assert.Check(t, !each.newest.hasExited(), "%s has no process", each.path)
	}
	peak, at := played.processes.peakMemory()
	assert.Check(t, peak < memoryBoundKB, "%d kB at %s", peak, at)
	t.Logf("processes %d, ended by a SIGHUP before the program handled it %d, peak memory %d kB, served %d",
		played.starts.Load(), played.unhandledHangups.Load(), peak, load.Tally.Served.Load())
}

// livesOptions returns the options of a site with two services in four zones.
func livesOptions(played *livesDay, seed uint64) day.Options {
	created := options(played.launch, seed, 0)
	for index := range 12 {
		placement := day.Placement{Zone: []string{"a", "b", "c", "d"}[index%4], Service: []string{"desk", "yard"}[index/4%2]}
		created.Machines = append(created.Machines, placement)
	}
	return created
}

// launch implements day.Launch. The site knows the first process of each machine only; its successors
// have the same addresses.
func (d *livesDay) launch(config *settings.Daemon, logger logr.Logger) (day.Process, error) {
	first, err := d.processes.launch(config, logger)
	if err != nil {
		return nil, err
	}
	path := d.processes.settingsPath(config.Node)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	started := &node{day: d, path: path, text: text, random: rand.New(rand.NewPCG(d.seed, uint64(len(d.nodes))))}
	started.newest = d.watch(first.(*process))
	d.nodes = append(d.nodes, started)
	return first, nil
}

// watch judges the end of a process.
func (d *livesDay) watch(started *process) *life {
	watched := &life{process: started}
	d.starts.Add(1)
	d.judging.Go(func() {
		<-watched.exited
		d.judge(watched)
	})
	return watched
}

// judge checks the end of a process. SIGTERM may end a process by its default action only before its first
// line, so before its program has done anything.
func (d *livesDay) judge(ended *life) {
	status := ended.exitStatus(d.t)
	if ended.endedByUnhandledHangup(d.t) {
		d.unhandledHangups.Add(1)
		return
	}
	output := ended.output.String()
	allowed := []string{"exit status 0", "exit status 1", "signal: killed"}
	if output == "" {
		allowed = append(allowed, "signal: terminated")
	}
	if !ended.asked.Load() || !slices.Contains(allowed, status) {
		d.t.Errorf("a process exited unexpectedly, asked %t: %s\n%s", ended.asked.Load(), status, output[max(0, len(output)-2000):])
	}
}

// end ends all processes and waits until each end is judged.
func (d *livesDay) end() {
	for _, each := range d.nodes {
		each.newest.ask(syscall.SIGKILL)
	}
	d.judging.Wait()
}

// onEachNode runs a function for all nodes at the same time.
func (d *livesDay) onEachNode(run func(*node)) {
	var running sync.WaitGroup
	for _, each := range d.nodes {
		running.Go(func() { run(each) })
	}
	running.Wait()
}

// startAllAtOnce ends all daemons, half of them by SIGKILL, and starts all of them at the same time.
func (d *livesDay) startAllAtOnce() {
	predecessors := make([]*life, len(d.nodes))
	for index, each := range d.nodes {
		predecessors[index] = each.newest
		each.newest.ask([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[index%2])
	}
	d.onEachNode((*node).start)
	for _, each := range predecessors {
		each.exitStatus(d.t)
	}
}

// loseStore makes the store unavailable for all daemons, again and again, until ctx ends.
func loseStore(ctx context.Context, store *objectstore.Server, random *rand.Rand) {
	faults := []objectstore.Faults{{Down: true}, {Silent: true}, {Reset: true}, {Delay: 300 * time.Millisecond}}
	for sleepAround(ctx, random, time.Second) {
		store.SetFaults(faults[random.IntN(len(faults))])
		sleepAround(ctx, random, time.Second)
		store.SetFaults(objectstore.Faults{})
	}
}

// ask asks a process to end.
func (l *life) ask(signal syscall.Signal) {
	l.asked.Store(true)
	l.signal(signal)
}

// disturb plays disturbances one after the other.
func (n *node) disturb() {
	kinds := []func(){n.succeedDraining, n.succeedServing, n.succeedSuspended, n.succeedAtTakenAddress, n.stopDuringStart, n.reload}
	for end := time.Now().Add(*livesLength); time.Now().Before(end); {
		kinds[n.random.IntN(len(kinds))]()
	}
}

// pause sleeps for up to the longest time.
func (n *node) pause(longest time.Duration) {
	time.Sleep(time.Duration(n.random.Float64() * float64(longest)))
}

// succeedDraining starts a successor while its predecessor stops as planned.
func (n *node) succeedDraining() {
	predecessor := n.newest
	predecessor.ask(syscall.SIGTERM)
	n.pause(300 * time.Millisecond)
	n.start()
	predecessor.exitStatus(n.day.t)
}

// succeedServing starts a successor while its predecessor serves, and then kills the predecessor.
func (n *node) succeedServing() {
	predecessor := n.newest
	n.start()
	n.pause(300 * time.Millisecond)
	predecessor.ask(syscall.SIGKILL)
	predecessor.exitStatus(n.day.t)
}

// succeedSuspended starts a successor while its predecessor is suspended. The predecessor is then killed,
// or goes on and is stopped as planned.
func (n *node) succeedSuspended() {
	predecessor := n.newest
	predecessor.signal(syscall.SIGSTOP)
	n.start()
	n.pause(time.Second)
	last := syscall.SIGTERM
	if n.random.IntN(2) == 0 {
		last = syscall.SIGKILL
	}
	predecessor.ask(last)
	predecessor.signal(syscall.SIGCONT)
	predecessor.exitStatus(n.day.t)
}

// succeedAtTakenAddress starts a successor while another process listens on one of its addresses.
func (n *node) succeedAtTakenAddress() {
	predecessor := n.newest
	predecessor.ask(syscall.SIGKILL)
	predecessor.exitStatus(n.day.t)
	at := predecessor.addresses
	address := []string{at.Peer, at.Caller, at.Instances, at.Readiness, at.Metrics}[n.random.IntN(5)]
	taken, err := net.Listen("tcp", address)
	assert.Check(n.day.t, err)
	n.start()
	n.pause(time.Second)
	if err == nil {
		assert.Check(n.day.t, taken.Close())
	}
}

// stopDuringStart stops a successor in the first 40 ms of its start.
func (n *node) stopDuringStart() {
	predecessor := n.newest
	predecessor.ask(syscall.SIGKILL)
	predecessor.exitStatus(n.day.t)
	n.newest = n.run()
	n.pause(40 * time.Millisecond)
	stopped := n.newest
	stopped.ask([]syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[n.random.IntN(2)])
	stopped.exitStatus(n.day.t)
	n.start()
}

// reload rewrites the settings file of the daemon that runs and sends SIGHUP, before the file is whole or
// after that.
func (n *node) reload() {
	n.rewriteSettings(func() { n.newest.signal(syscall.SIGHUP) })
	n.newest.signal(syscall.SIGHUP)
	n.pause(300 * time.Millisecond)
}

// run starts a process.
func (n *node) run() *life {
	started := n.day.processes.run(n.path)
	started.addresses = n.newest.addresses
	return n.day.watch(started)
}

// start starts a daemon. In two of three starts its settings file is rewritten meanwhile. It is started
// again if a SIGHUP ended it before its program ran.
func (n *node) start() {
	if n.random.IntN(3) > 0 {
		n.rewriteSettings(n.startSignalled)
	} else {
		n.startSignalled()
	}
	for {
		handled, err := n.newest.handlesHangup()
		if err != nil && n.newest.endedByUnhandledHangup(n.day.t) {
			n.newest = n.run()
		}
		if handled || err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// startSignalled starts a daemon that gets up to three SIGHUPs in the first 40 ms.
func (n *node) startSignalled() {
	n.newest = n.run()
	for range n.random.IntN(4) {
		n.pause(40 * time.Millisecond / 3)
		n.newest.signal(syscall.SIGHUP)
	}
}

// rewriteSettings writes the settings file in two pieces and calls meanwhile while it is empty or half
// written. The first piece is written again and again until meanwhile returns, as a start of a process may
// wait long for its turn to fork, and takes a file that has not changed for a second for whole.
func (n *node) rewriteSettings(meanwhile func()) {
	const interval = 50 * time.Millisecond
	part := n.text[:len(n.text)*n.random.IntN(2)/2]
	n.writeSettings(part)
	ctx, end := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	writing.Go(func() {
		for sleep.For(ctx, interval) {
			n.writeSettings(part)
		}
	})
	meanwhile()
	end()
	writing.Wait()
	n.writeSettings(part)
	n.pause(150 * time.Millisecond)
	n.writeSettings(n.text)
}

func (n *node) writeSettings(text []byte) {
	assert.Check(n.day.t, os.WriteFile(n.path, text, 0o600))
}
