package origin

import (
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// This file handles instances in slow start: until when an instance is cold and how many calls per
// second it is admitted until then (coldState, which is pure apart from coldCrashes), and the
// Instance methods that apply this. Package admission decides which calls the queue admits within a
// pace.

// ColdBound limits the calls that a cold instance gets in any second: the pool's rate for cold
// instances times Overshoot, plus Allowance. If both are 0 only the mean rate is limited.
type ColdBound struct {
	Overshoot float64
	// Allowance is a number of calls.
	Allowance float64
}

const (
	// unconfiguredColdRate is the number of calls per second that a cold instance is admitted while
	// its daemon has no configuration and a ColdBound is set. It must be below the rates of the
	// pools, 4.5 on the users' sites.
	unconfiguredColdRate = 1
	// cautiousPaceDuration is how long after the crash of a cold instance the local cold instances
	// are admitted no more calls than the rate of their pool. It must exceed the time for which
	// instances are cold, so that it covers the restarted one.
	cautiousPaceDuration = time.Minute
)

// coldSource is why an instance counts as cold.
type coldSource string

// Reasons for which an instance counts as cold.
const (
	// coldByStart: the first heartbeat of the instance stated it. coldByHeartbeat: a later
	// heartbeat of an instance that was warm before stated it.
	coldByStart     coldSource = "start"
	coldByHeartbeat coldSource = "heartbeat"
	// coldByEvacuation: an evacuation of its zone ended, during which the instance may have become
	// cold without a heartbeat.
	coldByEvacuation coldSource = "evacuation_end"
)

// coldState tracks whether an instance is cold. Times are by the monotonic clock, because the
// instance does not warm up either while the machine is suspended. It is not safe for concurrent
// use.
type coldState struct {
	bound ColdBound
	// callsPerSecond is the capacity of a cold instance, and maxColdTime the maximum time for which
	// it is cold, both as configured for its pool; 0 if not configured.
	callsPerSecond float64
	maxColdTime    time.Duration
	// crashes records the crashes of cold local instances; nil if they are not recorded.
	crashes *coldCrashes
	// configured is true once a configuration was applied.
	configured bool
	// warmAt is when the instance becomes warm according to its latest heartbeat.
	warmAt time.Time
	// After an evacuation of its zone an instance counts as cold until a heartbeat with a sequence
	// above heartbeatWaitSequence, or until heartbeatWaitEnd.
	heartbeatWaitEnd      time.Time
	heartbeatWaitSequence uint64
	// loggedCold and loggedSource are the values in the latest log line. admittedBefore is the number
	// of calls that the queue had admitted under a pace before the instance became cold.
	loggedCold     bool
	loggedSource   coldSource
	admittedBefore int64
}

// coldUntil returns when the instance becomes warm, as far as known: the later of warmAt and
// heartbeatWaitEnd.
func (c *coldState) coldUntil() time.Time {
	if c.heartbeatWaitEnd.After(c.warmAt) {
		return c.heartbeatWaitEnd
	}
	return c.warmAt
}

// recordHeartbeat records a heartbeat that states the remaining cold time. A heartbeat sent before
// heartbeatWaitSequence was set does not end the wait for a newer one.
func (c *coldState) recordHeartbeat(coldFor time.Duration, sequence uint64, now time.Time) {
	c.warmAt = now.Add(coldFor)
	if sequence > c.heartbeatWaitSequence || sequence == 0 {
		c.heartbeatWaitEnd = time.Time{}
	}
}

// rate returns the calls per second that a cold instance can handle: the rate of its pool, or
// unconfiguredColdRate before the first configuration if a ColdBound is set; 0 for no limit.
func (c *coldState) rate() float64 {
	if !c.configured && c.bound != (ColdBound{}) {
		return unconfiguredColdRate
	}
	return c.callsPerSecond
}

// pace returns the pace for the instance's queue; the zero Pace for a warm instance and for a pool
// without a rate. The pace is cautious before the first configuration, when the rate is a guess,
// and for cautiousPaceDuration after a cold instance crashed.
func (c *coldState) pace(now time.Time) admission.Pace {
	if c.rate() <= 0 || !now.Before(c.coldUntil()) {
		return admission.Pace{}
	}
	cautious := !c.configured || c.crashes.recent(now)
	pace := admission.PaceWithin(c.rate(), c.bound.Overshoot, c.bound.Allowance, cautious)
	pace.Until = c.coldUntil()
	return pace
}

// configure applies the pool's settings for cold instances; it reports whether they changed the
// rate.
func (c *coldState) configure(pool *lapisv1.Pool) (changed bool) {
	previousRate := c.rate()
	c.configured = true
	c.callsPerSecond = pool.GetColdCallsPerSecond()
	c.maxColdTime = time.Duration(pool.GetColdStartMillis()) * time.Millisecond
	return c.rate() != previousRate
}

// maxHeartbeatWait returns how long an instance counts as cold at most without a heartbeat: the
// maximum cold time of its pool or, before the first configuration, the time after which its
// silence would be detected.
func (c *coldState) maxHeartbeatWait() time.Duration {
	if !c.configured {
		return heartbeatTimeout
	}
	return c.maxColdTime
}

// coldCrashes records when a local instance last crashed while it was cold. It is safe for
// concurrent use; a nil value records nothing.
type coldCrashes struct{ latest atomic.Pointer[time.Time] }

func (c *coldCrashes) record(now time.Time) {
	if c != nil {
		c.latest.Store(&now)
	}
}

// recent reports whether such a crash happened within cautiousPaceDuration.
func (c *coldCrashes) recent(now time.Time) bool {
	if c == nil {
		return false
	}
	latest := c.latest.Load()
	return latest != nil && now.Sub(*latest) < cautiousPaceDuration
}

// configureCold applies the pool's settings for cold instances; the caller holds mutex.
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

// assumeColdUntilHeartbeat treats an instance that sends heartbeats as cold until a newer heartbeat
// arrives, for at most maxHeartbeatWait.
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

// setInitialPace sets the pace for an instance's first heartbeat, before calls can find the
// instance.
func (i *Instance) setInitialPace(registration Registration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	i.coldState.recordHeartbeat(registration.ColdRemaining, registration.Sequence, now)
	i.queue.SetPace(i.coldState.pace(now))
}

// updatePace sets the current pace of the queue, and logs and reports a change between cold and
// warm; the caller holds mutex.
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

// checkWarmedUp reports whether the instance has become warm since the last call, and updates its
// pace.
func (i *Instance) checkWarmedUp() (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !i.coldState.loggedCold || now.Before(i.coldState.coldUntil()) {
		return false
	}
	return i.updatePace(i.coldState.loggedSource, now)
}

// PaceUse returns the instance's limit on calls per second and its usage: the tokens left, and the
// calls admitted and refused so far. The limit is 0 while no pace is in force.
func (i *Instance) PaceUse() admission.PaceUse { return i.queue.PaceUse() }
