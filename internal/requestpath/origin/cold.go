package origin

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// ColdBound is what a cold instance must not get more than in any second: the pool's
// rate of cold instances times Overshoot, and Slack more. Both 0 bound the mean only.
type ColdBound struct {
	Overshoot float64
	// Slack is in calls.
	Slack float64
}

// rateUnknown is the calls a second that a cold instance is admitted while its daemon has
// no configuration yet, where the settings bound what cold instances get. It is low
// because the pool may say anything.
const rateUnknown = 1

// coldSource is why an instance counts as cold.
type coldSource string

// Sources of coldness.
const (
	// coldByStart is the word of an instance that has just registered, and
	// coldByHeartbeat that of one that was warm before.
	coldByStart     coldSource = "start"
	coldByHeartbeat coldSource = "heartbeat"
	// coldByEvacuation is the end of its zone's evacuation, before which it may have
	// turned cold without a word.
	coldByEvacuation coldSource = "evacuation_end"
)

// coldness is what is known of whether an instance is cold.
type coldness struct {
	bound ColdBound
	// perSecond is what the pool says that a cold instance bears, and startTime how
	// long it stays cold at most; 0 where it does not say.
	perSecond float64
	startTime time.Duration
	// falls remembers that an instance beside the daemon fell over while it was cold; nil
	// where that is not known.
	falls *coldFalls
	// configured is true once a configuration said so.
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

// sparedFor is how long after a fall the instances beside a daemon are admitted no more
// while cold than their pool says that they bear.
const sparedFor = time.Minute

// coldFalls remembers when an instance beside the daemon last fell over while it was cold.
type coldFalls struct {
	// mutex protects at.
	mutex sync.Mutex
	at    time.Time
}

func (f *coldFalls) note(now time.Time) {
	if f == nil {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.at = now
}

// lately reports whether cold instances are to be spared.
func (f *coldFalls) lately(now time.Time) bool {
	if f == nil {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.at.IsZero() && now.Sub(f.at) < sparedFor
}

// until returns when the instance is warm, as far as is known.
func (c *coldness) until() time.Time {
	if c.unheardUntil.After(c.warmAt) {
		return c.unheardUntil
	}
	return c.warmAt
}

// heard takes in a heartbeat that says how much longer the instance stays cold. One that
// was sent before it was to be heard does not end that.
func (c *coldness) heard(coldFor time.Duration, sequence uint64, now time.Time) {
	c.warmAt = now.Add(coldFor)
	if sequence > c.unheardSequence || sequence == 0 {
		c.unheardUntil = time.Time{}
	}
}

// rate returns the calls a second that a cold instance is admitted; 0 for no bound.
func (c *coldness) rate() float64 {
	if !c.configured && c.bound != (ColdBound{}) {
		return rateUnknown
	}
	return c.perSecond
}

// pace returns the pace that the queue of the instance keeps; none where the pool does
// not say what a cold instance bears.
func (c *coldness) pace(now time.Time) admission.Pace {
	if c.rate() <= 0 || !now.Before(c.until()) {
		return admission.Pace{}
	}
	pace := admission.PaceWithin(c.rate(), c.bound.Overshoot, c.bound.Slack, !c.configured || c.falls.lately(now))
	pace.Until = c.until()
	return pace
}

// configure takes what the pool says of its cold instances; it reports whether that
// changed.
func (c *coldness) configure(pool *lapisv1.Pool) (changed bool) {
	before := c.rate()
	c.configured = true
	c.perSecond = pool.GetColdCallsPerSecond()
	c.startTime = time.Duration(pool.GetColdStartMillis()) * time.Millisecond
	return c.rate() != before
}

// configureCold has the queue keep what the pool says of its cold instances; the caller
// holds mutex.
func (i *Instance) configureCold(pool *lapisv1.Pool) {
	if !i.coldness.configure(pool) {
		return
	}
	now := time.Now()
	i.followCold(coldByStart, now)
	if i.coldness.is {
		pace := i.coldness.pace(now)
		i.logger.Info("instance.paced", "instance", i.Name, "service", i.Service,
			"rate", i.coldness.rate(), "pace", pace.PerSecond, "burst", pace.Burst)
	}
}

// unheardFor returns how long an instance that is to be heard first counts as cold at
// most: as long as its pool's instances stay so, or, where no configuration says that yet,
// until its silence would be noticed.
func (c *coldness) unheardFor() time.Duration {
	if !c.configured {
		return beatSilence
	}
	return c.startTime
}

// coldUntilHeard has an instance that states itself count as cold until a newer heartbeat
// of it, for at most unheardFor.
func (i *Instance) coldUntilHeard() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	cold := &i.coldness
	if !i.registered || cold.rate() <= 0 || cold.unheardFor() <= 0 {
		return
	}
	now := time.Now()
	cold.unheardUntil = now.Add(cold.unheardFor())
	cold.unheardSequence = i.sequence
	i.followCold(coldByEvacuation, now)
}

// paceFirst has the queue keep the pace that fits an instance's first heartbeat, before
// calls can find the instance.
func (i *Instance) paceFirst(registration Registration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	i.coldness.heard(registration.ColdFor, registration.Sequence, now)
	i.queue.SetPace(i.coldness.pace(now))
}

// followCold has the queue keep the pace that fits what is known, and logs a change
// between cold and warm, which it reports; the caller holds mutex.
func (i *Instance) followCold(source coldSource, now time.Time) (changed bool) {
	cold := &i.coldness
	pace := cold.pace(now)
	i.queue.SetPace(pace)
	is := now.Before(cold.until())
	if is == cold.is {
		return false
	}
	cold.is = is
	if is {
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

// noteWarm notes that the time for which the instance said that it stays cold is over; it
// reports whether that is news.
func (i *Instance) noteWarm() (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	if !i.coldness.is || now.Before(i.coldness.until()) {
		return false
	}
	return i.followCold(i.coldness.source, now)
}

// ColdUse is how far the instance's pace is used; its rate is 0 while it is warm or its
// pool does not say what cold instances bear.
func (i *Instance) ColdUse() admission.PaceUse { return i.queue.PaceUse() }
