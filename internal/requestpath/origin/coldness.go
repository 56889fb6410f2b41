package origin

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// This file holds the rules for instances in slow start: until when an instance counts as cold and
// how many calls a second it is admitted meanwhile. They are pure but for coldCrashes; coldstart.go
// applies them. What the queue admits within a pace is package admission's.

// ColdBound is what a cold instance must not get more than in any second: the pool's
// rate of cold instances times Overshoot, and Allowance more. Both 0 bound the mean only.
type ColdBound struct {
	Overshoot float64
	// Allowance is in calls.
	Allowance float64
}

const (
	// rateUnknown is the calls a second that a cold instance is admitted while its daemon has
	// no configuration yet, where the settings bound what cold instances get. Chosen, not
	// measured; it must be below what pools state, 4.5 on the users' sites.
	rateUnknown = 1
	// cautiousFor is how long after a crash of a cold instance those beside the daemon are
	// admitted no more while cold than their pool states. Chosen, not measured; it must be
	// longer than instances stay cold, so that it covers the one that comes back.
	cautiousFor = time.Minute
)

// coldSource is why an instance counts as cold.
type coldSource string

// Sources of coldness.
const (
	// coldByStart is the statement of an instance that has just registered, and
	// coldByHeartbeat that of one that was warm before.
	coldByStart     coldSource = "start"
	coldByHeartbeat coldSource = "heartbeat"
	// coldByEvacuation is the end of its zone's evacuation, before which it may have turned
	// cold without being heard.
	coldByEvacuation coldSource = "evacuation_end"
)

// coldness is what is known of whether an instance is cold. Times are by the steady clock: while
// the machine is suspended the instance does not warm up either. It is not safe for concurrent
// use.
type coldness struct {
	bound ColdBound
	// perSecond is the capacity of a cold instance as its pool states it, in calls a second,
	// and startTime how long it stays cold at most; 0 where the pool does not say.
	perSecond float64
	startTime time.Duration
	// crashes remembers that an instance beside the daemon crashed while it was cold; nil
	// where that is not known.
	crashes *coldCrashes
	// configured is true once a configuration was applied.
	configured bool
	// warmAt is from the newest heartbeat.
	warmAt time.Time
	// unheardUntil is when an instance that is to be heard first counts as warm in any
	// case, and unheardSequence its newest heartbeat when that began.
	unheardUntil    time.Time
	unheardSequence uint64
	// is and source are what was logged last, and admitted what the queue had admitted
	// under a pace when it began.
	is       bool
	source   coldSource
	admitted int64
}

// until returns when the instance is warm, as far as is known: the later of what it stated and,
// where it is to be heard first, of when it counts as warm in any case.
func (c *coldness) until() time.Time {
	if c.unheardUntil.After(c.warmAt) {
		return c.unheardUntil
	}
	return c.warmAt
}

// noteHeartbeat records a heartbeat that states how much longer the instance stays cold. One that
// was sent before the instance was to be heard does not end that.
func (c *coldness) noteHeartbeat(coldFor time.Duration, sequence uint64, now time.Time) {
	c.warmAt = now.Add(coldFor)
	if sequence > c.unheardSequence || sequence == 0 {
		c.unheardUntil = time.Time{}
	}
}

// rate returns the calls a second that a cold instance can take: as the pool states it, or
// rateUnknown before any configuration where the settings bound it; 0 for no bound.
func (c *coldness) rate() float64 {
	if !c.configured && c.bound != (ColdBound{}) {
		return rateUnknown
	}
	return c.perSecond
}

// pace returns the pace that the queue of the instance keeps; none for a warm instance and where
// the pool states no rate. It is a cautious one while the rate is a guess, and for a while after a
// cold instance crashed.
func (c *coldness) pace(now time.Time) admission.Pace {
	if c.rate() <= 0 || !now.Before(c.until()) {
		return admission.Pace{}
	}
	cautious := !c.configured || c.crashes.recent(now)
	pace := admission.PaceWithin(c.rate(), c.bound.Overshoot, c.bound.Allowance, cautious)
	pace.Until = c.until()
	return pace
}

// configure applies what the pool states of its cold instances; it reports whether that
// changed the rate.
func (c *coldness) configure(pool *lapisv1.Pool) (changed bool) {
	before := c.rate()
	c.configured = true
	c.perSecond = pool.GetColdCallsPerSecond()
	c.startTime = time.Duration(pool.GetColdStartMillis()) * time.Millisecond
	return c.rate() != before
}

// unheardFor returns how long an instance that is to be heard first counts as cold at
// most: as long as its pool's instances stay so, or, where no configuration says that yet,
// until its silence would be noticed.
func (c *coldness) unheardFor() time.Duration {
	if !c.configured {
		return heartbeatSilence
	}
	return c.startTime
}

// coldCrashes remembers when an instance beside the daemon last crashed while it was cold. It is
// safe for concurrent use; nil remembers nothing.
type coldCrashes struct {
	// mutex protects at.
	mutex sync.Mutex
	at    time.Time
}

func (c *coldCrashes) note(now time.Time) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.at = now
}

// recent reports whether one crashed within cautiousFor.
func (c *coldCrashes) recent(now time.Time) bool {
	if c == nil {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.at.IsZero() && now.Sub(c.at) < cautiousFor
}
