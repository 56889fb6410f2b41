package configsource_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
)

// A single daemon polls continuously.
func TestChangeIsBroughtInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		changed := time.Now()
		source.add(7)
		time.Sleep(time.Second)
		revision, at := record.last()
		assert.Equal(t, revision, uint64(7))
		assert.Assert(t, at.Sub(changed) <= bound/4, "after %s", at.Sub(changed))
	})
}

// Guards against a failure in which all daemons kept the old version for the 10 s that a watch
// took, because the source did not learn of a change while its watches stayed open ("mix --seed
// 87251692990").
func TestSilentWatchEndsWithinTheContactTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		source.set(func(s *scriptedSource) { s.watchesSilent = true })
		changed := time.Now()
		source.add(7)
		time.Sleep(contactBound)
		revision, at := record.last()
		assert.Equal(t, revision, uint64(7))
		assert.Assert(t, at.Sub(changed) <= contactBound, "after %s", at.Sub(changed))
	})
}

// An unusable version is skipped after one attempt; the version in force stays, and the next usable
// one is applied.
func TestUnusableVersionIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, unusable: map[uint64]bool{5: true}}
		record, stop := follow(source)
		defer stop()
		time.Sleep(time.Second)
		source.add(5)
		time.Sleep(time.Second)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
		source.mutex.Lock()
		asked := source.requests
		source.mutex.Unlock()
		assert.Assert(t, asked <= 6, "%d requests", asked)
		source.add(7)
		time.Sleep(bound / 4)
		revision, _ = record.last()
		assert.Equal(t, revision, uint64(7))
	})
}

func TestOutageIsAskedThroughWithoutHaste(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, failures: 20}
		record, stop := follow(source)
		defer stop()
		time.Sleep(10 * time.Second)
		source.mutex.Lock()
		asked := source.requests
		source.mutex.Unlock()
		assert.Assert(t, asked >= 5 && asked <= 14, "%d requests in 10 s of outage", asked)
		source.set(func(s *scriptedSource) { s.failures = 0 })
		time.Sleep(2 * time.Second)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
	})
}

// An answer that cannot be read confirms nothing: other daemons would otherwise not poll, and nobody would learn of
// a new version.
func TestUnreadableAnswerConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}}
		freshness := &configsource.Freshness{}
		follower := newFollower(source, func(*lapisv1.Configuration) {}, func(follower *configsource.Follower) { follower.Freshness = freshness })
		defer run(follower)()
		time.Sleep(contactBound)
		source.set(func(s *scriptedSource) { s.unreadable = true })
		time.Sleep(bound)
		confirmed := freshness.Confirmed()
		time.Sleep(contactBound)
		assert.Equal(t, freshness.Confirmed(), confirmed)
		assert.Assert(t, follower.FailedPolls.Load() > 0)
	})
}

// A source whose answers take longer than the usual timeout is still followed, including by a
// daemon that has just started.
func TestSlowSourceIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &scriptedSource{log: []uint64{3}, delay: bound * 4 / 10}
		record, stop := follow(source)
		defer stop()
		time.Sleep(3 * bound)
		revision, _ := record.last()
		assert.Equal(t, revision, uint64(3))
		source.add(7)
		time.Sleep(4 * bound)
		revision, _ = record.last()
		assert.Equal(t, revision, uint64(7))
	})
}

// A daemon without a configuration polls earlier only once a call waits for it: at the first start
// of a site, the random delays spread the polls of the daemons.
func TestStartIsHurriedByAWaitingCall(t *testing.T) {
	for name, test := range map[string]struct {
		awaited     bool
		first, last time.Duration
	}{
		"nobody waits": {false, bound * 10 / 100, bound * 15 / 100},
		"a call waits": {true, 0, bound * 7 / 100},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				record := &applied{}
				follower := newFollower(&scriptedSource{log: []uint64{3}}, record.apply, func(follower *configsource.Follower) {
					follower.Awaited = func() bool { return test.awaited }
				})
				began := time.Now()
				stop := run(follower)
				time.Sleep(bound / 2)
				stop()
				revision, at := record.last()
				assert.Equal(t, revision, uint64(3))
				assert.Assert(t, at.Sub(began) >= test.first && at.Sub(began) <= test.last, "after %s", at.Sub(began))
			})
		})
	}
}
