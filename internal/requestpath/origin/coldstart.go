package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// configureCold has the queue keep what the pool states of its cold instances; the caller
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

// coldUntilHeard has an instance that sends heartbeats count as cold until a newer one, for at
// most unheardFor.
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
	i.coldness.noteHeartbeat(registration.ColdFor, registration.Sequence, now)
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

// noteWarm follows the end of the time for which the instance said that it stays cold; it
// reports whether it turned warm.
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
// pool states no rate of cold instances.
func (i *Instance) ColdUse() admission.PaceUse { return i.queue.PaceUse() }
