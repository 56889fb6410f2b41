package origin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// coldTime is how long the tests' instances stay cold, and boundOfSecond what one of
// them must not get more than in any second: 4 calls a second, times 1.5, and 6.
const (
	coldTime      = 3 * time.Second
	boundOfSecond = 12
)

// bench is an origin with one instance, whose heartbeats the test makes up.
type bench struct {
	*Origin
	t        *testing.T
	sequence uint64

	// told protects everything below.
	told    sync.Mutex
	changes int
	lines   []string
}

// newBench returns an origin whose pool bears perSecond calls of a cold instance; one
// without a configuration where that is negative.
func newBench(t *testing.T, perSecond float64) *bench {
	t.Helper()
	made := &bench{t: t}
	made.Origin = New(Config{
		QueueLength: 64, QueueTime: time.Second, Cold: ColdBound{Overshoot: 1.5, Slack: 6},
		Changed: func() { made.tell(func() { made.changes++ }) },
		Logger:  funcr.New(func(_, line string) { made.tell(func() { made.lines = append(made.lines, line) }) }, funcr.Options{}),
	})
	if perSecond >= 0 {
		made.rate(perSecond)
	}
	return made
}

func (b *bench) tell(note func()) {
	b.told.Lock()
	defer b.told.Unlock()
	note()
}

// rate puts a configuration in force.
func (b *bench) rate(perSecond float64) {
	configuration, err := meshconfig.Compose(meshconfig.Composition{Revision: 1, Pools: []*lapisv1.Pool{{
		Name: "desk", Group: meshconfig.DefaultGroup, Slots: 100, ConnectionLimit: 100,
		ColdCallsPerSecond: perSecond, ColdStartMillis: uint32(coldTime.Milliseconds()),
	}}}, nil)
	assert.NilError(b.t, err)
	store := &snapshot.Store{}
	assert.NilError(b.t, store.ReplaceConfiguration(configuration))
	b.Configure(store.Current())
}

// beat has the instance state that it stays cold for so long; older tells how many
// heartbeats ago it was sent.
func (b *bench) beat(coldFor time.Duration, older uint64) {
	b.sequence++
	b.Register(Registration{
		Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100,
		Sequence: b.sequence - older, ColdFor: coldFor,
	})
}

// press asks for calls without end, for so long, and returns how many were admitted.
func (b *bench) press(during time.Duration) (admitted int) {
	b.t.Helper()
	instance, ok := b.instance("desk", "desk-1")
	assert.Assert(b.t, ok)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if slot, err := instance.queue.Acquire(context.Background(), admission.Request{NoWait: true}); err == nil {
			admitted++
			slot.Release(false)
		}
	}
	return admitted
}

// contains reports whether a line has all parts.
func contains(line string, parts ...string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
}

// cold reports whether the instance is announced as cold.
func (b *bench) cold() bool { return b.Advertised()[0].GetColdMillis() > 0 }

// An instance is paced while its last word is that it is cold, and only where its pool
// states a rate.
func TestInstanceIsPacedWhileItSaysThatItIsCold(t *testing.T) {
	for name, row := range map[string]struct {
		rate  float64
		steps func(*bench)
		paced bool
	}{
		"cold from its start":        {4, func(b *bench) { b.beat(coldTime, 0) }, true},
		"no rate":                    {0, func(b *bench) { b.beat(coldTime, 0) }, false},
		"warm from its start":        {4, func(b *bench) { b.beat(0, 0) }, false},
		"cold anew":                  {4, func(b *bench) { b.beat(0, 0); b.beat(coldTime, 0) }, true},
		"warm at once by word":       {4, func(b *bench) { b.beat(coldTime, 0); b.beat(0, 0) }, false},
		"late word that it is warm":  {4, func(b *bench) { b.beat(0, 0); b.beat(coldTime, 0); b.beat(0, 2) }, true},
		"late word that it is cold":  {4, func(b *bench) { b.beat(coldTime, 0); b.beat(0, 0); b.beat(coldTime, 2) }, false},
		"its time is over":           {4, func(b *bench) { b.beat(coldTime, 0); time.Sleep(coldTime) }, false},
		"the rate is taken away":     {4, func(b *bench) { b.beat(coldTime, 0); b.rate(0) }, false},
		"the rate comes later":       {0, func(b *bench) { b.beat(coldTime, 0); b.rate(4) }, true},
		"no configuration yet":       {-1, func(b *bench) { b.beat(coldTime, 0) }, true},
		"warm, no configuration yet": {-1, func(b *bench) { b.beat(0, 0) }, false},
		"a rate after none":          {-1, func(b *bench) { b.beat(coldTime, 0); b.rate(4) }, true},
		"no rate after none":         {-1, func(b *bench) { b.beat(coldTime, 0); b.rate(0) }, false},
		"nothing known, no bound":    {-1, func(b *bench) { b.config.Cold = ColdBound{}; b.beat(coldTime, 0) }, false},
		"to be heard first":          {4, func(b *bench) { b.beat(0, 0); b.mustBeHeard() }, true},
		"heard since":                {4, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); b.beat(0, 0) }, false},
		"heard with an old word":     {4, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); b.beat(0, 1) }, true},
		"not heard for long":         {4, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); time.Sleep(coldTime) }, false},
		"heard first, none known":    {-1, func(b *bench) { b.beat(0, 0); b.mustBeHeard() }, true},
		"heard since, none known":    {-1, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); b.beat(0, 0) }, false},
		"to be heard, a rate after":  {-1, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); b.rate(4) }, true},
		"not heard, none known":      {-1, func(b *bench) { b.beat(0, 0); b.mustBeHeard(); time.Sleep(beatSilence) }, false},
		"no rate, to be heard first": {0, func(b *bench) { b.beat(0, 0); b.mustBeHeard() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench(t, row.rate)
				row.steps(bench)
				admitted := bench.press(time.Second)
				assert.Equal(t, admitted <= boundOfSecond, row.paced, "%d admitted", admitted)
				assert.Assert(t, admitted >= 3 || row.rate < 0, "%d admitted", admitted)
			})
		})
	}
}

// mustBeHeard is the end of an evacuation of the instance's zone.
func (b *bench) mustBeHeard() {
	instance, _ := b.instance("desk", "desk-1")
	instance.coldUntilHeard()
}

// A daemon that ends and starts anew within the second keeps the bound with the one
// before.
func TestRestartedDaemonKeepsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := newBench(t, 4), newBench(t, 4)
		before.beat(coldTime, 0)
		time.Sleep(500 * time.Millisecond)
		admitted := before.press(300 * time.Millisecond)
		after.beat(coldTime, 0)
		admitted += after.press(600 * time.Millisecond)
		assert.Assert(t, admitted >= 4 && admitted <= boundOfSecond, "%d admitted", admitted)
	})
}

// A new instance is paced from when calls find it, which is before the rest of its first
// heartbeat is taken in.
func TestNewColdInstanceIsPacedWhenCallsFindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, 4)
		_, fresh := bench.registered(Registration{
			Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100, Sequence: 1, ColdFor: coldTime,
		})
		assert.Assert(t, fresh)
		admitted := bench.press(time.Second)
		assert.Assert(t, admitted >= 3 && admitted <= boundOfSecond, "%d admitted", admitted)
	})
}

// Both changes between cold and warm are announced and written down with their source.
func TestChangesOfColdnessAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, 4)
		bench.beat(coldTime, 0)
		assert.Assert(t, bench.cold())
		changes := bench.changes
		bench.press(time.Second)
		bench.beat(time.Second, 0)
		assert.Equal(t, bench.changes, changes, "nothing changed")
		bench.beat(0, 0)
		assert.Equal(t, bench.changes, changes+1)
		assert.Assert(t, !bench.cold())
		bench.mustBeHeard()
		assert.Assert(t, bench.cold())
		assert.Equal(t, len(bench.lines), 4, "%q", bench.lines)
		assert.Assert(t, contains(bench.lines[1], `"instance.cold"`, `"source"="start"`, `"rate"=4`, `"pace"=8.2`, `"burst"=2`, `"cold_ms"=3000`), "%s", bench.lines[1])
		assert.Assert(t, contains(bench.lines[2], `"instance.warm"`, `"admitted_cold"=8`), "%s", bench.lines[2])
		assert.Assert(t, contains(bench.lines[3], `"instance.cold"`, `"source"="evacuation_end"`), "%s", bench.lines[3])
	})
}

// The end of the time for which an instance said that it is cold is announced too: what
// was announced before is told again to each daemon that connects, however late.
func TestEndOfTheColdTimeIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, 4)
		var announced atomic.Uint32
		bench.config.Changed = func() { announced.Store(bench.Advertised()[0].GetColdMillis()) }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); bench.Run(ctx) }()
		defer func() { cancel(); <-done }()
		synctest.Wait()
		bench.beat(coldTime, 0)
		time.Sleep(coldTime / 2)
		bench.beat(coldTime/2, 0)
		assert.Assert(t, announced.Load() > 0)
		time.Sleep(coldTime)
		bench.beat(0, 0)
		synctest.Wait()
		assert.Equal(t, announced.Load(), uint32(0))
	})
}

// What waits for an instance that falls over is refused at once, and nothing is sent to
// it until its next heartbeat.
func TestFallenInstanceGetsNothingUntilItsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, 4)
		bench.beat(coldTime, 0)
		instance, _ := bench.instance("desk", "desk-1")
		waiting := make(chan error, 1)
		go func() {
			_, err := instance.queue.Acquire(context.Background(), admission.Request{MaxWait: time.Minute, StartBy: time.Now().Add(time.Minute)})
			waiting <- err
		}()
		synctest.Wait()
		for range downAfter {
			instance.noteCall(result.Errorf(result.CallNotRunUnreachable, "refused"), nil)
		}
		synctest.Wait()
		assert.Assert(t, result.Is(<-waiting, result.CallNotRunUnreachable))
		assert.Equal(t, bench.Advertised()[0].GetState(), lapisv1.Endpoint_STATE_SUSPECT)
		instance.noteCall(nil, nil)
		assert.Equal(t, bench.press(2*time.Second), 0, "an answer that was on its way brings it up")
		assert.Assert(t, contains(bench.lines[len(bench.lines)-1], `"instance.down"`, `"cause"="no_connections"`, `"waiting"=1`))
		bench.beat(0, 0)
		assert.Assert(t, bench.press(time.Second) > boundOfSecond)
	})
}

// Calls take the way through the daemon to the closed port, and the last of them is not
// tried any more.
func TestCallsToAFallenInstanceAreNotTried(t *testing.T) {
	bench := newBench(t, 0)
	bench.beat(0, 0)
	var err error
	for range downAfter + 1 {
		attempt := bench.newAttempt()
		_, err = bench.Handle(context.Background(), &callapi.Call{Open: attempt})
		assert.Assert(t, result.Is(err, result.CallNotRunUnreachable), "%v", err)
	}
	assert.ErrorContains(t, err, "is down (no_connections)")
}

func (b *bench) newAttempt() *lapisv1.CallOpen {
	b.sequence++
	return &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", Method: "GET", Target: "/", AttemptId: time.Now().String()}
}

// An instance that drains while it is down stays closed when it is heard, and takes calls
// when the reason is gone and it is heard.
func TestFallenInstanceThatDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t, 0)
		bench.beat(0, 0)
		instance, _ := bench.instance("desk", "desk-1")
		for range downAfter {
			instance.noteCall(result.Errorf(result.CallNotRunUnreachable, "refused"), nil)
		}
		instance.Drain(DrainOperator)
		bench.beat(0, 0)
		assert.Equal(t, bench.press(10*time.Millisecond), 0)
		instance.Resume(DrainOperator)
		bench.beat(0, 0)
		assert.Assert(t, bench.press(10*time.Millisecond) > 0)
	})
}

// Connections that break do not take an instance down that accepts new ones, however
// many; that is found out by asking once. One that refuses a connection then is down.
func TestSignsOfAFallenInstance(t *testing.T) {
	const broke, answered, refused, silent, later = 'b', 'a', 'r', 's', 'l'
	for name, row := range map[string]struct {
		events string
		asked  int
		cause  downCause
	}{
		"one breaks":                        {"b", 0, ""},
		"some break, with answers between":  {"bbabbabba", 0, ""},
		"some break, far apart":             {"bblbblbb", 0, ""},
		"many break at once":                {"bbbbbbbb", 1, ""},
		"many break for long":               {"bbblbbblbbb", 3, ""},
		"many break, and one is refused":    {"bbbr", 1, downBroke},
		"one breaks, and one is refused":    {"br", 0, downBroke},
		"one breaks, one is refused later":  {"blr", 0, ""},
		"one breaks, and one is lost":       {"bs", 0, ""},
		"several are lost":                  {"sss", 0, downUnreachable},
		"several are refused":               {"rrr", 0, downUnreachable},
		"some are refused, answers between": {"rrarra", 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			known, asked, cause := signs{}, 0, downCause("")
			for _, event := range row.events {
				switch event {
				case broke:
					if known.brokeOff(now) {
						asked++
					}
				case answered:
					known.answered()
				case refused, silent:
					if found, down := known.notConnected(event == refused, now); down {
						cause = found
					}
				case later:
					now = now.Add(2 * brokenWithin)
				}
			}
			assert.Equal(t, asked, row.asked)
			assert.Equal(t, cause, row.cause)
		})
	}
}

// Calls that broke off have the instance asked, and one that does not accept a
// connection is down at once.
func TestBrokenCallsHaveTheInstanceAsked(t *testing.T) {
	bench := newBench(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); bench.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	for bench.runs() == nil {
		time.Sleep(time.Millisecond)
	}
	bench.beat(0, 0)
	instance, _ := bench.instance("desk", "desk-1")
	for range brokenAfter {
		instance.noteCall(result.Errorf(result.CallUnknownOutcome, "reset"), func() { bench.ask(instance) })
	}
	for end := time.Now().Add(5 * time.Second); instance.State() != StateDown; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "it is not asked")
	}
}

func (b *bench) runs() context.Context {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.runContext
}

// After an instance fell over while it was cold, those that start beside the daemon get no
// more than their pool says that they bear; after a while, and after a fall of a warm one,
// they get more again.
func TestColdInstancesAreSparedAfterAFall(t *testing.T) {
	for name, row := range map[string]struct {
		coldFor, later time.Duration
		least, most    int
	}{
		"fell while cold":           {coldTime, 0, 2, 4},
		"fell while cold, long ago": {coldTime, sparedFor, 7, 9},
		"fell while warm":           {0, 0, 7, 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench(t, 4)
				bench.beat(row.coldFor, 0)
				instance, _ := bench.instance("desk", "desk-1")
				instance.mutex.Lock()
				instance.fallOver(downBroke)
				instance.mutex.Unlock()
				time.Sleep(row.later)
				bench.beat(coldTime, 0)
				admitted := bench.press(time.Second)
				assert.Assert(t, admitted >= row.least && admitted <= row.most, "%d admitted", admitted)
			})
		})
	}
}
