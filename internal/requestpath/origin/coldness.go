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
	// unconfiguredColdRate is the calls a second that a cold instance is admitted while its daemon has no
	// configuration yet, where the settings bound what cold instances get. It must be below what
	// pools state, 4.5 on the users' sites.
	unconfiguredColdRate = 1
	// cautiousPaceDuration is how long after a crash of a cold instance those beside the daemon are admitted
	// no more while cold than their pool states. It must be longer than instances stay cold, so
	// that it covers the one that comes back.
	cautiousPaceDuration = time.Minute
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

// coldState is what is known of whether an instance is cold. Times are by the steady clock: while
// the machine is suspended the instance does not warm up either. It is not safe for concurrent use.
type coldState struct {
	bound ColdBound
	// callsPerSecond is the capacity of a cold instance as its pool states it, in calls a second,
	// and startTime how long it stays cold at most; 0 where the pool does not say.
	callsPerSecond float64
	maxColdTime    time.Duration
	// crashes remembers that an instance beside the daemon crashed while it was cold; nil
	// where that is not known.
	crashes *coldCrashes
	// configured is true once a configuration was applied.
	configured bool
	// warmAt is from the newest heartbeat.
	warmAt time.Time
	// After its zone's evacuation an instance counts as cold until a heartbeat later than
	// awaitAfterSequence, or until heartbeatWaitEnd.
	heartbeatWaitEnd      time.Time
	heartbeatWaitSequence uint64
	// loggedCold and source are what was logged last, and admitted what the queue had admitted
	// under a pace when it began.
	loggedCold     bool
	loggedSource   coldSource
	admittedBefore int64
}

// coldUntil returns when the instance is warm, as far as is known: the later of warmAt and
// awaitHeartbeatUntil.
func (c *coldState) coldUntil() time.Time {
	if c.heartbeatWaitEnd.After(c.warmAt) {
		return c.heartbeatWaitEnd
	}
	return c.warmAt
}

// recordHeartbeat records a heartbeat that states how much longer the instance stays cold. One sent
// before awaitAfterSequence was set does not end the time for which it counts as cold unheard.
func (c *coldState) recordHeartbeat(coldFor time.Duration, sequence uint64, now time.Time) {
	c.warmAt = now.Add(coldFor)
	if sequence > c.heartbeatWaitSequence || sequence == 0 {
		c.heartbeatWaitEnd = time.Time{}
	}
}

// rate returns the calls a second that a cold instance can take: as the pool states it, or
// rateUnknown before any configuration where the settings bound it; 0 for no bound.
func (c *coldState) rate() float64 {
	if !c.configured && c.bound != (ColdBound{}) {
		return unconfiguredColdRate
	}
	return c.callsPerSecond
}

// pace returns the pace that the queue of the instance keeps; none for a warm instance and where
// the pool states no rate. It is a cautious one while the rate is a guess, and for a while after a
// cold instance crashed.
func (c *coldState) pace(now time.Time) admission.Pace {
	if c.rate() <= 0 || !now.Before(c.coldUntil()) {
		return admission.Pace{}
	}
	cautious := !c.configured || c.crashes.recent(now)
	pace := admission.PaceWithin(c.rate(), c.bound.Overshoot, c.bound.Allowance, cautious)
	pace.Until = c.coldUntil()
	return pace
}

// configure applies what the pool states of its cold instances; it reports whether that
// changed the rate.
func (c *coldState) configure(pool *lapisv1.Pool) (changed bool) {
	previousRate := c.rate()
	c.configured = true
	c.callsPerSecond = pool.GetColdCallsPerSecond()
	c.maxColdTime = time.Duration(pool.GetColdStartMillis()) * time.Millisecond
	return c.rate() != previousRate
}

// maxHeartbeatWait returns how long an instance counts as cold at most while no heartbeat comes:
// as long as its pool's instances stay so, or, where no configuration says that yet, until its
// silence would be noticed.
func (c *coldState) maxHeartbeatWait() time.Duration {
	if !c.configured {
		return heartbeatTimeout
	}
	return c.maxColdTime
}

// coldCrashes remembers when an instance beside the daemon last crashed while it was cold. It is
// safe for concurrent use; nil remembers nothing.
type coldCrashes struct{ latest atomic.Pointer[time.Time] }

func (c *coldCrashes) record(now time.Time) {
	if c != nil {
		c.latest.Store(&now)
	}
}

// recent reports whether one crashed within cautiousFor.
func (c *coldCrashes) recent(now time.Time) bool {
	if c == nil {
		return false
	}
	latest := c.latest.Load()
	return latest != nil && now.Sub(*latest) < cautiousPaceDuration
}

// configureCold applies what the pool states of its cold instances; the caller holds mutex.
func (i *Instance) configureCold(pool *lapisv1.Pool) {
	if !i.coldState.configure(pool) {
		return
	}
	now := time.Now()
	i.updatePace(coldByStart, now)
	if i.coldState.loggedCold {
		pace := i.coldState.pace(now)
		i.logger.Info("instance.paced", "instance", i.Name, "service", i.Service,
			"rate", i.coldState.rate(), "pace", pace.PerSecond, "burst", pace.Burst)
	}
}

// assumeColdUntilHeartbeat has an instance that sends heartbeats count as cold until a newer one, for at
// most awaitHeartbeatFor.
func (i *Instance) assumeColdUntilHeartbeat() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	cold := &i.coldState
	if !i.registered || cold.rate() <= 0 || cold.maxHeartbeatWait() <= 0 {
		return
	}
	now := time.Now()
	cold.heartbeatWaitEnd = now.Add(cold.maxHeartbeatWait())
	cold.heartbeatWaitSequence = i.sequence
	i.updatePace(coldByEvacuation, now)
}

// setInitialPace sets the pace that fits an instance's first heartbeat, before calls can find the
// instance.
func (i *Instance) setInitialPace(registration Registration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	i.coldState.recordHeartbeat(registration.ColdFor, registration.Sequence, now)
	i.queue.SetPace(i.coldState.pace(now))
}

// updatePace sets the pace that fits what is known, and logs a change between cold and warm, which it
// reports; the caller holds mutex.
func (i *Instance) updatePace(source coldSource, now time.Time) (changed bool) {
	cold := &i.coldState
	pace := cold.pace(now)
	i.queue.SetPace(pace)
	isCold := now.Before(cold.coldUntil())
	if isCold == cold.loggedCold {
		return false
	}
	cold.loggedCold = isCold
	if isCold {
		cold.loggedSource = source
		cold.admittedBefore = i.queue.PaceUse().Admitted
		i.logger.Info("instance.cold", "instance", i.Name, "service", i.Service, "source", string(source),
			"rate", cold.rate(), "pace", pace.PerSecond, "burst", pace.Burst, "cold_ms", cold.coldUntil().Sub(now).Milliseconds())
		return true
	}
	i.logger.Info("instance.warm", "instance", i.Name, "service", i.Service, "source", string(cold.loggedSource),
		"rate", cold.rate(), "cold_ms", 0, "admitted_cold", i.queue.PaceUse().Admitted-cold.admittedBefore)
	return true
}

// checkWarmedUp reports whether the instance has turned warm since the last call, and follows that.
func (i *Instance) checkWarmedUp() (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !i.coldState.loggedCold || now.Before(i.coldState.coldUntil()) {
		return false
	}
	return i.updatePace(i.coldState.loggedSource, now)
}

// ColdUse is how far the instance's pace is used; the rate is 0 while none holds.
func (i *Instance) ColdUse() admission.PaceUse { return i.queue.PaceUse() }
