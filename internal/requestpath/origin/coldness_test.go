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
func (b *fixture) cold() bool { return b.Advertised()[0].GetColdMillis() > 0 }

// An instance is paced while its newest heartbeat says that it is cold, and only where its pool
// states a rate.
func TestInstanceIsPacedWhileItSaysThatItIsCold(t *testing.T) {
	for name, row := range map[string]struct {
		rate  float64
		steps func(*fixture)
		paced bool
	}{
		"cold from its start":        {4, func(b *fixture) { b.heartbeat(coldDuration, 0) }, true},
		"no rate":                    {0, func(b *fixture) { b.heartbeat(coldDuration, 0) }, false},
		"warm from its start":        {4, func(b *fixture) { b.heartbeat(0, 0) }, false},
		"cold anew":                  {4, func(b *fixture) { b.heartbeat(0, 0); b.heartbeat(coldDuration, 0) }, true},
		"warm at once as it says":    {4, func(b *fixture) { b.heartbeat(coldDuration, 0); b.heartbeat(0, 0) }, false},
		"late heartbeat says warm":   {4, func(b *fixture) { b.heartbeat(0, 0); b.heartbeat(coldDuration, 0); b.heartbeat(0, 2) }, true},
		"late heartbeat says cold":   {4, func(b *fixture) { b.heartbeat(coldDuration, 0); b.heartbeat(0, 0); b.heartbeat(coldDuration, 2) }, false},
		"its time is over":           {4, func(b *fixture) { b.heartbeat(coldDuration, 0); time.Sleep(coldDuration) }, false},
		"the rate is taken away":     {4, func(b *fixture) { b.heartbeat(coldDuration, 0); b.configureColdRate(0) }, false},
		"the rate comes later":       {0, func(b *fixture) { b.heartbeat(coldDuration, 0); b.configureColdRate(4) }, true},
		"no configuration yet":       {-1, func(b *fixture) { b.heartbeat(coldDuration, 0) }, true},
		"warm, no configuration yet": {-1, func(b *fixture) { b.heartbeat(0, 0) }, false},
		"a rate after none":          {-1, func(b *fixture) { b.heartbeat(coldDuration, 0); b.configureColdRate(4) }, true},
		"no rate after none":         {-1, func(b *fixture) { b.heartbeat(coldDuration, 0); b.configureColdRate(0) }, false},
		"nothing known, no bound":    {-1, func(b *fixture) { b.config.Cold = ColdBound{}; b.heartbeat(coldDuration, 0) }, false},
		"to be heard first":          {4, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation() }, true},
		"heard since":                {4, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); b.heartbeat(0, 0) }, false},
		"heard with an old one":      {4, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); b.heartbeat(0, 1) }, true},
		"not heard for long":         {4, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); time.Sleep(coldDuration) }, false},
		"heard first, none known":    {-1, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation() }, true},
		"heard since, none known":    {-1, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); b.heartbeat(0, 0) }, false},
		"to be heard, a rate after":  {-1, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); b.configureColdRate(4) }, true},
		"not heard, none known":      {-1, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation(); time.Sleep(heartbeatTimeout) }, false},
		"no rate, to be heard first": {0, func(b *fixture) { b.heartbeat(0, 0); b.endEvacuation() }, false},
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

// endEvacuation is the end of an evacuation of the instance's zone.
func (b *fixture) endEvacuation() {
	instance, _ := b.instance("desk", "desk-1")
	instance.assumeColdUntilHeartbeat()
}

// A daemon that ends and starts anew within the second keeps the bound with the one before.
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

// A new instance is paced from when calls find it, which is before the rest of its first
// heartbeat is recorded.
func TestNewColdInstanceIsPacedWhenCallsFindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		_, fresh := fixture.findOrRegister(Registration{
			Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100, Sequence: 1, ColdFor: coldDuration,
		})
		assert.Assert(t, fresh)
		admitted := fixture.admitFor(time.Second)
		assert.Assert(t, admitted >= 3 && admitted <= maxAdmittedPerSecond, "%d admitted", admitted)
	})
}

// Both changes between cold and warm are announced and written down with their source.
func TestChangesOfColdnessAreAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		fixture.heartbeat(coldDuration, 0)
		assert.Assert(t, fixture.cold())
		changes := fixture.changes
		fixture.admitFor(time.Second)
		fixture.heartbeat(time.Second, 0)
		assert.Equal(t, fixture.changes, changes, "nothing changed")
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

// The end of the time for which an instance said that it is cold is announced too: what
// was announced before is announced again to each daemon that connects, however late.
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

// After an instance crashed while it was cold, those that start beside the daemon get no more than
// the rate of their pool; after a while, and after the crash of a warm one, they get more again.
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
