package origin

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// cold reports whether the instance is announced as cold.
func (f *fixture) cold() bool { return f.Advertised()[0].GetColdMillis() > 0 }

// An instance is paced while its latest heartbeat states that it is cold, and only if its pool has
// a rate for cold instances.
func TestInstanceIsPacedWhileItSaysThatItIsCold(t *testing.T) {
	for name, row := range map[string]struct {
		rate  float64
		steps func(*fixture)
		paced bool
	}{
		"cold from its start":                               {4, func(f *fixture) { f.heartbeat(coldDuration, 0) }, true},
		"no rate":                                           {0, func(f *fixture) { f.heartbeat(coldDuration, 0) }, false},
		"warm from its start":                               {4, func(f *fixture) { f.heartbeat(0, 0) }, false},
		"cold again":                                        {4, func(f *fixture) { f.heartbeat(0, 0); f.heartbeat(coldDuration, 0) }, true},
		"warm before its time":                              {4, func(f *fixture) { f.heartbeat(coldDuration, 0); f.heartbeat(0, 0) }, false},
		"delayed heartbeat, warm":                           {4, func(f *fixture) { f.heartbeat(0, 0); f.heartbeat(coldDuration, 0); f.heartbeat(0, 2) }, true},
		"delayed heartbeat, cold":                           {4, func(f *fixture) { f.heartbeat(coldDuration, 0); f.heartbeat(0, 0); f.heartbeat(coldDuration, 2) }, false},
		"cold time has passed":                              {4, func(f *fixture) { f.heartbeat(coldDuration, 0); time.Sleep(coldDuration) }, false},
		"rate removed":                                      {4, func(f *fixture) { f.heartbeat(coldDuration, 0); f.configureColdRate(0) }, false},
		"rate added later":                                  {0, func(f *fixture) { f.heartbeat(coldDuration, 0); f.configureColdRate(4) }, true},
		"no configuration yet":                              {-1, func(f *fixture) { f.heartbeat(coldDuration, 0) }, true},
		"warm, no configuration yet":                        {-1, func(f *fixture) { f.heartbeat(0, 0) }, false},
		"first configuration, a rate":                       {-1, func(f *fixture) { f.heartbeat(coldDuration, 0); f.configureColdRate(4) }, true},
		"first configuration, no rate":                      {-1, func(f *fixture) { f.heartbeat(coldDuration, 0); f.configureColdRate(0) }, false},
		"no configuration, no bound":                        {-1, func(f *fixture) { f.config.Cold = ColdBound{}; f.heartbeat(coldDuration, 0) }, false},
		"evacuation ended":                                  {4, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation() }, true},
		"evacuation ended, new heartbeat":                   {4, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); f.heartbeat(0, 0) }, false},
		"evacuation ended, delayed heartbeat":               {4, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); f.heartbeat(0, 1) }, true},
		"evacuation ended, silent for the cold time":        {4, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); time.Sleep(coldDuration) }, false},
		"evacuation ended, no configuration":                {-1, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation() }, true},
		"evacuation ended, new heartbeat, no configuration": {-1, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); f.heartbeat(0, 0) }, false},
		"evacuation ended, first configuration, a rate":     {-1, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); f.configureColdRate(4) }, true},
		"evacuation ended, silent, no configuration":        {-1, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation(); time.Sleep(heartbeatTimeout) }, false},
		"evacuation ended, no rate":                         {0, func(f *fixture) { f.heartbeat(0, 0); f.endEvacuation() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t, row.rate)
				row.steps(fixture)
				admitted := fixture.admitFor(time.Second)
				assert.Equal(t, admitted <= maxAdmittedPerSecond, row.paced, "%d admitted", admitted)
				assert.Assert(t, admitted >= 3 || row.rate < 0, "%d admitted", admitted)
			})
		})
	}
}

// endEvacuation applies the end of an evacuation of the instance's zone.
func (f *fixture) endEvacuation() {
	instance, _ := f.instance("desk", "desk-1")
	instance.assumeColdUntilHeartbeat()
}

// A daemon that restarts within a second and its predecessor together keep the limit of a cold
// instance.
func TestRestartedDaemonKeepsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := newFixture(t, 4), newFixture(t, 4)
		before.heartbeat(coldDuration, 0)
		time.Sleep(500 * time.Millisecond)
		admitted := before.admitFor(300 * time.Millisecond)
		after.heartbeat(coldDuration, 0)
		admitted += after.admitFor(600 * time.Millisecond)
		assert.Assert(t, admitted >= 4 && admitted <= maxAdmittedPerSecond, "%d admitted", admitted)
	})
}

// A new instance is paced as soon as calls can find it, which is before the rest of its first
// heartbeat is recorded.
func TestNewColdInstanceIsPacedWhenCallsFindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		_, isNew := fixture.findOrRegister(Registration{
			Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100, Sequence: 1, ColdRemaining: coldDuration,
		})
		assert.Assert(t, isNew)
		admitted := fixture.admitFor(time.Second)
		assert.Assert(t, admitted >= 3 && admitted <= maxAdmittedPerSecond, "%d admitted", admitted)
	})
}

// Each change between cold and warm is announced, and logged with its source.
func TestChangesOfColdnessAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		fixture.heartbeat(coldDuration, 0)
		assert.Assert(t, fixture.cold())
		changes := fixture.changes
		fixture.admitFor(time.Second)
		fixture.heartbeat(time.Second, 0)
		assert.Equal(t, fixture.changes, changes, "announced without a change")
		fixture.heartbeat(0, 0)
		assert.Equal(t, fixture.changes, changes+1)
		assert.Assert(t, !fixture.cold())
		fixture.endEvacuation()
		assert.Assert(t, fixture.cold())
		assert.Equal(t, len(fixture.lines), 4, "%q", fixture.lines)
		assert.Assert(t, contains(fixture.lines[1], `"instance.cold"`, `"source"="start"`, `"rate"=4`, `"pace"=8.2`, `"burst"=2`, `"cold_ms"=3000`), "%s", fixture.lines[1])
		assert.Assert(t, contains(fixture.lines[2], `"instance.warm"`, `"admitted_cold"=8`), "%s", fixture.lines[2])
		assert.Assert(t, contains(fixture.lines[3], `"instance.cold"`, `"source"="evacuation_end"`), "%s", fixture.lines[3])
	})
}

// The end of the cold time is announced too. The failure: daemons that connected later still
// received the previous announcement.
func TestEndOfTheColdTimeIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		var announced atomic.Uint32
		fixture.config.Changed = func() { announced.Store(fixture.Advertised()[0].GetColdMillis()) }
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); fixture.Run(ctx) }()
		defer func() { cancel(); <-done }()
		synctest.Wait()
		fixture.heartbeat(coldDuration, 0)
		time.Sleep(coldDuration / 2)
		fixture.heartbeat(coldDuration/2, 0)
		assert.Assert(t, announced.Load() > 0)
		time.Sleep(coldDuration)
		fixture.heartbeat(0, 0)
		synctest.Wait()
		assert.Equal(t, announced.Load(), uint32(0))
	})
}

// After a cold instance crashed, cold local instances get no more calls than the rate of their
// pool. They get more again after cautiousPaceDuration, and after the crash of a warm instance.
func TestColdInstancesArePacedCautiouslyAfterACrash(t *testing.T) {
	for name, row := range map[string]struct {
		coldFor, later           time.Duration
		minAdmitted, maxAdmitted int
	}{
		"crashed while cold":           {coldDuration, 0, 2, 4},
		"crashed while cold, long ago": {coldDuration, cautiousPaceDuration, 7, 9},
		"crashed while warm":           {0, 0, 7, 9},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t, 4)
				fixture.heartbeat(row.coldFor, 0)
				instance, _ := fixture.instance("desk", "desk-1")
				instance.mutex.Lock()
				instance.markDownByCalls(downCallsBroken)
				instance.mutex.Unlock()
				time.Sleep(row.later)
				fixture.heartbeat(coldDuration, 0)
				admitted := fixture.admitFor(time.Second)
				assert.Assert(t, admitted >= row.minAdmitted && admitted <= row.maxAdmitted, "%d admitted", admitted)
			})
		})
	}
}
