package configsource_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// A confirmation grows old while the machine is suspended, and the source is asked as soon
// as the machine is back, although the timer of the next question stood.
func TestSuspendedFollowerAsksAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gap atomic.Int64
		defer boottime.Use(func() time.Duration { return time.Duration(gap.Load()) })()
		source := &scriptedSource{log: []uint64{3}}
		record, freshness, resumed := &applied{}, &configsource.Freshness{}, make(chan struct{}, 1)
		follower := &configsource.Follower{
			Source: source, Apply: record.apply, Freshness: freshness, Confirmed: func() {}, Bound: time.Hour,
			Daemons: func() int { return 1 }, Logger: logr.Discard(), Resumed: resumed,
			Pace: func() time.Duration { return 0 }, Random: func() float64 { return 0 },
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { follower.Run(ctx) })
		time.Sleep(time.Second)
		asked := follower.Asked.Load()
		assert.Assert(t, asked > 0)
		gap.Store(int64(2 * time.Hour))
		time.Sleep(time.Second)
		assert.Assert(t, boottime.Since(freshness.Confirmed()) > 2*time.Hour)
		assert.Equal(t, follower.Asked.Load(), asked)
		resumed <- struct{}{}
		time.Sleep(time.Second)
		assert.Assert(t, follower.Asked.Load() > asked)
		assert.Assert(t, boottime.Since(freshness.Confirmed()) < time.Minute)
		cancel()
		running.Wait()
	})
}
