package origin

import (
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
)

// This file keeps the departures of instances, by the names under which they are stored and told to other
// daemons. An entry lives for departure.TTL.
//
// A message that an instance leaves may state its ID only. It then means the incarnation that is present. If
// none is, because this process has just started or the instance has, a heartbeat of the incarnation that left
// may still arrive, with a start that this daemon cannot know. The departure is then recorded for all
// incarnations of the ID that have started by now (incarnation.Departure).
//
// A departure also ends the incarnations that are earlier than the one that left (incarnation.Departure.Ends):
// they are drained and dropped, but not recorded, because the machine's clock may have been set back. Until the
// departure expires, an earlier one registers, or is served again before it is dropped, only by heartbeats that
// continue (hasContinuedAfter).

// withdrawnInstance is an instance that left permanently.
type withdrawnInstance struct {
	// at is when this daemon last learned of it, and firstAt when it first did.
	at, firstAt time.Time
	// stored is true once the store has the departure, and lost once it may have lost it.
	stored, lost bool
	// messageAt is when the latest message of the instance arrived that stands for this departure; zero if
	// this daemon knows of the departure from the store or from other daemons only.
	messageAt time.Time
	// until is when the first message without a start that stands for this departure arrived, in milliseconds
	// since 1970; 0 if none did. An incarnation that started until then may be the one that sent it.
	until uint64
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
func (o *Origin) Withdraw(name, daemon string) {
	o.withdraw(name, daemon)
	o.storeLacking()
}

// withdraw drains an instance permanently: it gets no further calls, its running calls continue,
// and no heartbeat brings it back. by is the origin of the report.
func (o *Origin) withdraw(name, by string) {
	o.mutex.Lock()
	left, alreadyWithdrawn := o.withdrawn[name]
	left.at = time.Now()
	if !alreadyWithdrawn {
		left.firstAt = left.at
	}
	o.withdrawn[name] = left
	departed := incarnation.ParseDeparture(name)
	if !alreadyWithdrawn {
		o.departures[departed.ID] = append(o.departures[departed.ID], departed)
	}
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		switch {
		case departed.Covers(instance.identity):
			instance.Drain(DrainInstance)
		case departed.Ends(instance.identity) && !instance.presentSince().After(left.firstAt):
			o.supersede(instance, name)
		}
	}
	if !alreadyWithdrawn {
		o.config.Logger.Info("instance.leaving", "instance", name, "by", by, "uptime_ms", time.Since(o.startedAt).Milliseconds())
		o.config.Changed()
	}
}

// WithdrawIncarnation withdraws the incarnation with an ID and a start time; without a start time (0),
// those that departureNames returns. It returns the names of the departures.
func (o *Origin) WithdrawIncarnation(id string, startUnixMillis uint64) (names []string) {
	names = o.departureNames(incarnation.Incarnation{ID: id, StartUnixMillis: startUnixMillis})
	for _, name := range names {
		if !o.isRecorded(name) {
			o.config.Logger.Info("instance.retired", "instance", id, "start", startUnixMillis, "recorded", name)
		}
	}
	o.withdrawAnnounced(names, startUnixMillis == 0, withdrawnByRetirement)
	return names
}

// withdrawAnnounced withdraws the departures that a message of an instance stands for. unstated is true if the
// message states no start.
func (o *Origin) withdrawAnnounced(names []string, unstated bool, by string) {
	for _, name := range names {
		o.withdraw(name, by)
		o.markMessage(name, unstated)
	}
}

// departureNames returns the names under which to record a message that an incarnation leaves. A message without
// a start stands for the present incarnations of its ID that have not left yet. If there are none, it repeats a
// message that arrived shortly before, or stands for all incarnations that may have sent it.
func (o *Origin) departureNames(stated incarnation.Incarnation) []string {
	if stated.StartUnixMillis != 0 {
		return []string{stated.Name()}
	}
	if present := o.presentNames(stated.ID); len(present) > 0 {
		return present
	}
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	now := time.Now()
	if repeated := o.announcedNames(stated.ID, now); len(repeated) > 0 {
		return repeated
	}
	return []string{o.nameOfAll(stated.ID, now)}
}

// presentNames returns the names of the incarnations with an ID that sent a heartbeat lately and have not left.
func (o *Origin) presentNames(id string) (names []string) {
	for _, instance := range o.Instances() {
		if instance.identity.ID == id && isPresent(instance.heartbeatAge()) && !o.isWithdrawn(instance.Name) && !instance.hasEnded() {
			names = append(names, instance.Name)
		}
	}
	return names
}

// announcedNames returns the names of the departures of an ID that a message lately stood for. An instance
// repeats its message until it is acknowledged, and may send another one as it ends; all have one name, because
// each name is a write of the store. The caller holds mutex.
func (o *Origin) announcedNames(id string, now time.Time) (names []string) {
	for _, departed := range o.departures[id] {
		if name := departed.Name(); isPresent(now.Sub(o.withdrawn[name].messageAt)) {
			names = append(names, name)
		}
	}
	return names
}

// nameOfAll returns the name for the departure of all incarnations of an ID; the caller holds mutex.
func (o *Origin) nameOfAll(id string, now time.Time) string {
	all := incarnation.Departure{Incarnation: incarnation.Incarnation{ID: id, StartUnixMillis: uint64(now.UnixMilli())}, Until: true}
	statesStarts := func(d incarnation.Departure) bool { return d.StartUnixMillis != 0 }
	if departures := o.departures[id]; len(departures) > 0 && !slices.ContainsFunc(departures, statesStarts) {
		// An instance that states no starts is one incarnation, which has left.
		return departures[0].Name()
	}
	return all.Name()
}

// markMessage records that a message stands for a departure.
func (o *Origin) markMessage(name string, unstated bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if left, known := o.withdrawn[name]; known {
		left.messageAt = time.Now()
		if unstated && left.until == 0 {
			left.until = uint64(left.messageAt.UnixMilli())
		}
		o.withdrawn[name] = left
	}
}

// isWithdrawn reports whether the incarnation with a name left permanently.
func (o *Origin) isWithdrawn(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.hasLeft(incarnation.Parse(name))
}

// hasLeft reports whether an incarnation left permanently; the caller holds mutex.
func (o *Origin) hasLeft(identity incarnation.Incarnation) bool {
	return slices.ContainsFunc(o.departures[identity.ID], func(d incarnation.Departure) bool { return d.Covers(identity) })
}

// hasEnded reports whether the incarnation with a name, which is not registered, left permanently or is earlier
// than one that did.
func (o *Origin) hasEnded(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	identity := incarnation.Parse(name)
	return slices.ContainsFunc(o.departures[identity.ID], func(d incarnation.Departure) bool { return d.Ends(identity) })
}

// isRecorded reports whether a departure is known by its name.
func (o *Origin) isRecorded(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	_, recorded := o.withdrawn[name]
	return recorded
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
			o.forgetDeparture(incarnation.ParseDeparture(name))
		}
	}
}

// forgetDeparture removes an expired departure from departures; the caller holds mutex.
func (o *Origin) forgetDeparture(expired incarnation.Departure) {
	remaining := slices.DeleteFunc(o.departures[expired.ID], func(d incarnation.Departure) bool { return d == expired })
	if len(remaining) == 0 {
		delete(o.departures, expired.ID)
		return
	}
	o.departures[expired.ID] = remaining
}

// latestWordAt returns when the instance itself last said that it leaves, or when this daemon first learned of it. That
// another daemon tells of it again, as each does on each link, shows nothing new.
func (w withdrawnInstance) latestWordAt() time.Time {
	if w.messageAt.After(w.firstAt) {
		return w.messageAt
	}
	return w.firstAt
}

// departureAfter returns the name of the departure with the latest word (latestWordAt), of those after which an
// incarnation may be over: a later one left, or a message without a start arrived that this one may have sent. It
// is empty if there is none. The caller holds mutex.
func (o *Origin) departureAfter(identity incarnation.Incarnation) (latest string) {
	for _, departed := range o.departures[identity.ID] {
		name := departed.Name()
		left := o.withdrawn[name]
		mayBeOver := departed.StartedAfter(identity) || identity.StartUnixMillis <= left.until
		if mayBeOver && (latest == "" || left.latestWordAt().After(o.withdrawn[latest].latestWordAt())) {
			latest = name
		}
	}
	return latest
}

// hasContinuedAfter reports whether the heartbeats of an incarnation have gone on after such a departure, so that it
// is the present one and the clock was set back. Those within presenceTimeout of the
// departure show nothing, and neither does a single one after that: they may be late. The caller holds mutex.
func (o *Origin) hasContinuedAfter(departed string, registration Registration) bool {
	if isPresent(time.Since(o.withdrawn[departed].latestWordAt())) {
		return false
	}
	// A heartbeat counts after the departure that it followed, and not after another one.
	candidate := registration.incarnation().Name() + " after " + departed
	return o.superseded.Record(candidate, registration.Sequence, time.Now())
}

// logHeartbeatAfterLeave logs the first heartbeat that arrives after a departure that ends its incarnation; the
// caller holds mutex.
func (o *Origin) logHeartbeatAfterLeave(registration Registration) {
	identity := registration.incarnation()
	for _, departed := range o.departures[identity.ID] {
		left := o.withdrawn[departed.Name()]
		if !departed.Ends(identity) || left.heartbeatLogged {
			continue
		}
		left.heartbeatLogged = true
		o.withdrawn[departed.Name()] = left
		o.config.Logger.Info("instance.beat_after_leave", "instance", identity.Name(), "sequence", registration.Sequence,
			"left", departed.Name(), "known_ms", time.Since(left.at).Milliseconds())
	}
}

// withdrawnNames returns the names under which incarnations of an ID left; the caller holds mutex.
func (o *Origin) withdrawnNames(id string) (names []string) {
	for _, departed := range o.departures[id] {
		names = append(names, departed.Name())
	}
	return names
}
