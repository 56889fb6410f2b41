package origin

import (
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// This file is about instances in slow start: until when an instance counts as cold and how many
// calls a second it is admitted meanwhile (coldness, which is pure but for coldCrashes), and the
// Instance methods that apply it. What the queue admits within a pace is package admission's.

// ColdBound is what a cold instance must not get more than in any second: the pool's
// rate of cold instances times Overshoot, and Allowance more. Both 0 bound the mean only.
type ColdBound struct {
	Overshoot float64
	// Allowance is in calls.
	Allowance float64
}

const (
	// rateUnknown is the calls a second that a cold instance is admitted while its daemon has no
	// configuration yet, where the settings bound what cold instances get. It must be below what
	// pools state, 4.5 on the users' sites.
	rateUnknown = 1
	// cautiousFor is how long after a crash of a cold instance those beside the daemon are admitted
	// no more while cold than their pool states. It must be longer than instances stay cold, so
	// that it covers the one that comes back.
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
// the machine is suspended the instance does not warm up either. It is not safe for concurrent use.
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
	// After its zone's evacuation an instance counts as cold until a heartbeat later than
	// awaitAfterSequence, or until awaitHeartbeatUntil.
	awaitHeartbeatUntil time.Time
	awaitAfterSequence  uint64
	// isCold and source are what was logged last, and admitted what the queue had admitted
	// under a pace when it began.
	isCold   bool
	source   coldSource
	admitted int64
}

// until returns when the instance is warm, as far as is known: the later of warmAt and
// awaitHeartbeatUntil.
func (c *coldness) until() time.Time {
	if c.awaitHeartbeatUntil.After(c.warmAt) {
		return c.awaitHeartbeatUntil
	}
	return c.warmAt
}

// noteHeartbeat records a heartbeat that states how much longer the instance stays cold. One sent
// before awaitAfterSequence was set does not end the time for which it counts as cold unheard.
func (c *coldness) noteHeartbeat(coldFor time.Duration, sequence uint64, now time.Time) {
	c.warmAt = now.Add(coldFor)
	if sequence > c.awaitAfterSequence || sequence == 0 {
		c.awaitHeartbeatUntil = time.Time{}
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

// awaitHeartbeatFor returns how long an instance counts as cold at most while no heartbeat comes:
// as long as its pool's instances stay so, or, where no configuration says that yet, until its
// silence would be noticed.
func (c *coldness) awaitHeartbeatFor() time.Duration {
	if !c.configured {
		return heartbeatSilence
	}
	return c.startTime
}

// coldCrashes remembers when an instance beside the daemon last crashed while it was cold. It is
// safe for concurrent use; nil remembers nothing.
type coldCrashes struct{ newest atomic.Pointer[time.Time] }

func (c *coldCrashes) note(now time.Time) {
	if c != nil {
		c.newest.Store(&now)
	}
}

// recent reports whether one crashed within cautiousFor.
func (c *coldCrashes) recent(now time.Time) bool {
	if c == nil {
		return false
	}
	newest := c.newest.Load()
	return newest != nil && now.Sub(*newest) < cautiousFor
}

// configureCold applies what the pool states of its cold instances; the caller holds mutex.
func (i *Instance) configureCold(pool *lapisv1.Pool) {
	if !i.coldness.configure(pool) {
		return
	}
	now := time.Now()
	i.followCold(coldByStart, now)
	if i.coldness.isCold {
		pace := i.coldness.pace(now)
		i.logger.Info("instance.paced", "instance", i.Name, "service", i.Service,
			"rate", i.coldness.rate(), "pace", pace.PerSecond, "burst", pace.Burst)
	}
}

// coldUntilHeartbeat has an instance that sends heartbeats count as cold until a newer one, for at
// most awaitHeartbeatFor.
func (i *Instance) coldUntilHeartbeat() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	cold := &i.coldness
	if !i.registered || cold.rate() <= 0 || cold.awaitHeartbeatFor() <= 0 {
		return
	}
	now := time.Now()
	cold.awaitHeartbeatUntil = now.Add(cold.awaitHeartbeatFor())
	cold.awaitAfterSequence = i.sequence
	i.followCold(coldByEvacuation, now)
}

// paceFirst sets the pace that fits an instance's first heartbeat, before calls can find the
// instance.
func (i *Instance) paceFirst(registration Registration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	i.coldness.noteHeartbeat(registration.ColdFor, registration.Sequence, now)
	i.queue.SetPace(i.coldness.pace(now))
}

// followCold sets the pace that fits what is known, and logs a change between cold and warm, which it
// reports; the caller holds mutex.
func (i *Instance) followCold(source coldSource, now time.Time) (changed bool) {
	cold := &i.coldness
	pace := cold.pace(now)
	i.queue.SetPace(pace)
	isCold := now.Before(cold.until())
	if isCold == cold.isCold {
		return false
	}
	cold.isCold = isCold
	if isCold {
		cold.source = source
		cold.admitted = i.queue.PaceUse().Admitted
		i.logger.Info("instance.cold", "instance", i.Name, "service", i.Service, "source", string(source),
			"rate", cold.rate(), "pace", pace.PerSecond, "burst", pace.Burst, "cold_ms", cold.until().Sub(now).Milliseconds())
		return true
	}
	i.logger.Info("instance.warm", "instance", i.Name, "service", i.Service, "source", string(cold.source),
		"rate", cold.rate(), "cold_ms", 0, "admitted_cold", i.queue.PaceUse().Admitted-cold.admitted)
	return true
}

// noteWarm reports whether the instance has turned warm since the last call, and follows that.
func (i *Instance) noteWarm() (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !i.coldness.isCold || now.Before(i.coldness.until()) {
		return false
	}
	return i.followCold(i.coldness.source, now)
}

// ColdUse is how far the instance's pace is used; the rate is 0 while none holds.
func (i *Instance) ColdUse() admission.PaceUse { return i.queue.PaceUse() }
