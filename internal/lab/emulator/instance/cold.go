package instance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

const (
	// coldSlowdown is how many times longer work takes while an instance is cold.
	coldSlowdown = 2
	// coldNotice is the time in which daemons hear that an instance turned cold
	// amid traffic: five heartbeats of the default day.
	coldNotice = time.Second
)

// coldness is whether an instance is cold, and what it got of late. The zero value
// is warm; it is safe for concurrent use.
type coldness struct {
	// mutex protects everything below.
	mutex sync.Mutex
	until time.Time
	// boundFrom is from when what the instance gets is held to the rate.
	boundFrom time.Time
	recent    promise.Second
}

// left returns how much longer the instance is cold, 0 for a warm one.
func (c *coldness) left(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(c.until.Sub(now), 0)
}

// chill makes the instance cold. Amid traffic daemons first have to hear of it.
func (c *coldness) chill(now time.Time, length time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.until = now.Add(length)
	c.boundFrom = now
	if c.recent.Count(now) > 0 {
		c.boundFrom = now.Add(coldNotice)
	}
}

// arrived takes in a request. bound is true where the rate of a cold instance holds;
// count is then what came in the last second, since it does.
func (c *coldness) arrived(now time.Time) (bound bool, count int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	bound = now.Before(c.until) && !now.Before(c.boundFrom)
	if bound && c.recent.Count(now) > 0 && c.recent.Oldest().Before(c.boundFrom) {
		c.recent.Reset()
	}
	return bound, c.recent.Add(now)
}

// Chill makes the instance cold for a time, as after a start.
func (i *Instance) Chill(length time.Duration) { i.cold.chill(time.Now(), length) }

// reached notes a request that is meant for the instance, which may be the one too
// many.
func (i *Instance) reached(id, poison string) {
	now := time.Now()
	i.received.Add(1)
	bound, count := i.cold.arrived(now)
	i.options.Ledger.Reached(promise.Arrival{
		Request: id, Instance: i.id, Zone: i.options.Zone, Region: i.options.Region, Cold: bound, Poison: poison, At: now,
	})
	if bound && i.options.FallsAbove > 0 && float64(count) > i.options.FallsAbove {
		// The instance cannot end while its own request waits for that.
		i.fall.Do(func() { go i.options.Fell(i) })
	}
}
