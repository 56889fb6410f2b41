package instance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

const (
	// coldSlowdown is how many times longer work takes while an instance is cold.
	coldSlowdown = 2
	// coldNotice is the time in which daemons hear that an instance turned cold while it gets
	// requests: five heartbeats of the default day.
	coldNotice = time.Second
)

// coldness is whether an instance is cold, and its requests of the last second. The zero value is
// warm; it is safe for concurrent use.
type coldness struct {
	// mutex protects everything below.
	mutex sync.Mutex
	until time.Time
	// boundFrom is from when on the rate of a cold instance holds.
	boundFrom time.Time
	recent    promise.RateWindow
}

// remaining returns how much longer the instance is cold, 0 for a warm one.
func (c *coldness) remaining(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.until.Sub(now), 0)
}

// start makes the instance cold. One that gets requests now is bound coldNotice later, since daemons
// have to hear of it first.
func (c *coldness) start(now time.Time, length time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.until = now.Add(length)
	c.boundFrom = now
	if c.recent.Count(now) > 0 {
		c.boundFrom = now.Add(coldNotice)
	}
}

// noteRequest counts a request. bound is true where the rate of a cold instance holds; count is then
// the requests of the last second, but none of before boundFrom.
func (c *coldness) noteRequest(now time.Time) (bound bool, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	bound = now.Before(c.until) && !now.Before(c.boundFrom)
	if bound && c.recent.Count(now) > 0 && c.recent.Oldest().Before(c.boundFrom) {
		c.recent.Reset()
	}
	return bound, c.recent.Add(now)
}

// MakeCold makes the instance cold for a time, as after a start.
func (i *Instance) MakeCold(length time.Duration) { i.cold.start(time.Now(), length) }

// noteDelivered records a request that is meant for the instance, which crashes a cold one that gets
// too many.
func (i *Instance) noteDelivered(id, poison string) {
	now := time.Now()
	i.received.Add(1)
	bound, count := i.cold.noteRequest(now)
	i.options.Ledger.Delivered(promise.Delivery{
		Request: id, Instance: i.Name(), Zone: i.options.Zone, Region: i.options.Region, Cold: bound, Poison: poison, At: now,
	})
	if bound && i.options.CrashesAbove > 0 && float64(count) > i.options.CrashesAbove {
		// In the background: the instance's end waits for this request.
		i.crashOnce.Do(func() { go i.options.ColdCrashed(i) })
	}
}
