package instance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

const (
	// coldSlowdown is the factor by which work takes longer while an instance is cold.
	coldSlowdown = 2
	// coldPropagationDelay is the time until all daemons know that an instance under load has become
	// cold. It is five heartbeat intervals of day.DefaultOptions.
	coldPropagationDelay = time.Second
)

// slowStart tracks whether an instance is cold and how many requests it received in the last second.
// The zero value is warm. It is safe for concurrent use.
type slowStart struct {
	// mutex protects everything below.
	mutex  sync.Mutex
	endsAt time.Time
	// limitedFrom is the time from which the request rate of the cold instance is limited.
	limitedFrom    time.Time
	recentRequests promise.RateWindow
}

// remaining returns the time for which the instance stays cold, 0 for a warm instance.
func (s *slowStart) remaining(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(s.endsAt.Sub(now), 0)
}

// start makes the instance cold. If the instance received requests in the last second, its rate is
// limited only after coldPropagationDelay, since daemons have to learn of the slow start first.
func (s *slowStart) start(now time.Time, duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endsAt = now.Add(duration)
	s.limitedFrom = now
	if s.recentRequests.Count(now) > 0 {
		s.limitedFrom = now.Add(coldPropagationDelay)
	}
}

// recordRequest counts a request. limited reports whether the rate of a cold instance applies; count is
// then the number of requests in the last second, without those before limitedFrom.
func (s *slowStart) recordRequest(now time.Time) (limited bool, count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limited = now.Before(s.endsAt) && !now.Before(s.limitedFrom)
	if limited && s.recentRequests.Count(now) > 0 && s.recentRequests.Oldest().Before(s.limitedFrom) {
		s.recentRequests.Reset()
	}
	return limited, s.recentRequests.Add(now)
}

// MakeCold puts the instance into slow start for the given time, as after a restart.
func (i *Instance) MakeCold(duration time.Duration) { i.slowStart.start(time.Now(), duration) }

// recordDelivery records a request that is addressed to the instance. It crashes a cold instance that
// receives more than Options.ColdCrashRate requests in a second.
func (i *Instance) recordDelivery(id, poison string) {
	now := time.Now()
	i.received.Add(1)
	limited, count := i.slowStart.recordRequest(now)
	i.options.Ledger.Delivered(promise.Delivery{
		Request: id, Instance: i.Name(), Zone: i.options.Zone, Region: i.options.Region, Cold: limited, Poison: poison, At: now,
	})
	if limited && i.options.ColdCrashRate > 0 && float64(count) > i.options.ColdCrashRate {
		// Runs in the background, since the end of the instance waits for this request.
		i.crashOnce.Do(func() { go i.options.OnColdCrash(i) })
	}
}
