package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
)

// This file keeps the departures of instances, by the names under which they are stored and told to other
// daemons. An entry lives for departure.TTL.

// withdrawnInstance is an instance that left permanently.
type withdrawnInstance struct {
	// at is when this daemon last learned of it.
	at time.Time
	// stored is true once the store has the departure, and lost once it may have lost it.
	stored, lost bool
	// heartbeatLogged is true once a heartbeat that arrived after the leave was logged.
	heartbeatLogged bool
}

// Origins of the report that an instance left, for the log. The name of another daemon stands for
// itself.
const (
	withdrawnByHeartbeat   = "heartbeat"
	withdrawnByRetirement  = "retirement"
	withdrawnByStatement   = "statement"
	withdrawnByReplacement = "replacement"
	withdrawnByStore       = "store"
)

// Withdraw drains an instance that left permanently, as reported by another daemon.
func (o *Origin) Withdraw(name, daemon string) { o.withdraw(name, daemon) }

// withdraw drains an instance permanently: it gets no further calls, its running calls continue,
// and no heartbeat brings it back. by is the origin of the report.
func (o *Origin) withdraw(name, by string) {
	o.mutex.Lock()
	left, alreadyWithdrawn := o.withdrawn[name]
	left.at = time.Now()
	o.withdrawn[name] = left
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		if instance.Name == name {
			instance.Drain(DrainInstance)
		}
	}
	if !alreadyWithdrawn {
		o.config.Logger.Info("instance.leaving", "instance", name, "by", by, "uptime_ms", time.Since(o.startedAt).Milliseconds())
		o.config.Changed()
	}
}

// WithdrawIncarnation withdraws the incarnation with an ID and a start time; without a start time (0),
// the known incarnations with the ID. It returns the names of the withdrawn incarnations.
func (o *Origin) WithdrawIncarnation(id string, startUnixMillis uint64) (names []string) {
	if startUnixMillis == 0 {
		for _, instance := range o.Instances() {
			if instance.identity.ID == id {
				names = append(names, instance.Name)
			}
		}
	}
	if len(names) == 0 {
		names = []string{incarnation.Incarnation{ID: id, StartUnixMillis: startUnixMillis}.Name()}
	}
	for _, name := range names {
		if !o.isWithdrawn(name) {
			o.config.Logger.Info("instance.retired", "instance", id, "start", startUnixMillis, "recorded", name)
		}
		o.withdraw(name, withdrawnByRetirement)
	}
	return names
}

func (o *Origin) isWithdrawn(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.hasLeft(incarnation.Parse(name))
}

// hasLeft reports whether an incarnation left permanently; the caller holds mutex.
func (o *Origin) hasLeft(identity incarnation.Incarnation) bool {
	_, withdrawn := o.withdrawn[identity.Name()]
	return withdrawn
}

// Withdrawn returns the names of the instances that left permanently.
func (o *Origin) Withdrawn() []string {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	names := make([]string, 0, len(o.withdrawn))
	for name := range o.withdrawn {
		names = append(names, name)
	}
	return names
}

// pruneWithdrawn removes the entries older than departure.TTL; the caller holds mutex.
func (o *Origin) pruneWithdrawn() {
	for name, left := range o.withdrawn {
		if time.Since(left.at) > departure.TTL {
			delete(o.withdrawn, name)
		}
	}
}

// laterWithdrawnStart returns the name of a later incarnation with the same ID that left
// permanently less than presenceTimeout ago; empty if there is none. Heartbeats of the earlier
// incarnation are then delayed ones. The caller holds mutex.
func (o *Origin) laterWithdrawnStart(identity incarnation.Incarnation) string {
	for name, left := range o.withdrawn {
		withdrawn := incarnation.Parse(name)
		if withdrawn.ID == identity.ID && withdrawn.StartedAfter(identity) && isPresent(time.Since(left.at)) {
			return name
		}
	}
	return ""
}

// logHeartbeatAfterLeave logs the first heartbeat of an instance that left; the caller holds mutex.
func (o *Origin) logHeartbeatAfterLeave(registration Registration) {
	name := registration.incarnation().Name()
	left := o.withdrawn[name]
	if left.heartbeatLogged {
		return
	}
	left.heartbeatLogged = true
	o.withdrawn[name] = left
	o.config.Logger.Info("instance.beat_after_leave", "instance", name, "sequence", registration.Sequence,
		"known_ms", time.Since(left.at).Milliseconds())
}

// withdrawnNames returns the names under which incarnations of an ID left; the caller holds mutex.
func (o *Origin) withdrawnNames(id string) (names []string) {
	for name := range o.withdrawn {
		if incarnation.Parse(name).ID == id {
			names = append(names, name)
		}
	}
	return names
}
