package configsource_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// A confirmation ages while the machine is suspended, so the source is polled as soon as the
// machine resumes, although the timer of the next poll did not advance during the suspension.
func TestSuspendedFollowerAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gap atomic.Int64
		defer boottime.Use(func() time.Duration { return time.Duration(gap.Load()) })()
		source := &scriptedSource{log: []uint64{3}}
		record, freshness, resumed := &applied{}, &configsource.Freshness{}, make(chan struct{}, 1)
		follower := newFollower(source, record.apply, func(follower *configsource.Follower) {
			follower.Freshness, follower.Resumed, follower.Bound = freshness, resumed, time.Hour
			follower.MinInterval = func() time.Duration { return 0 }
			follower.Random = func() float64 { return 0 }
		})
		defer run(follower)()
		time.Sleep(time.Second)
		asked := follower.ConfigurationRequests.Load()
		assert.Assert(t, asked > 0)
		gap.Store(int64(2 * time.Hour))
		time.Sleep(time.Second)
		assert.Assert(t, boottime.Since(freshness.Confirmed()) > 2*time.Hour)
		assert.Equal(t, follower.ConfigurationRequests.Load(), asked)
		resumed <- struct{}{}
		time.Sleep(time.Second)
		assert.Assert(t, follower.ConfigurationRequests.Load() > asked)
		assert.Assert(t, boottime.Since(freshness.Confirmed()) < time.Minute)
	})
}
