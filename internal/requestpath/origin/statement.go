package origin

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file handles what an instance states about itself in its answers (callapi.Statement): the rate
// that it accepts from all daemons together, and that it is about to leave. All calls to an instance pass
// through this daemon, so its queue alone keeps the rate, whatever the number of callers.

// Limits of the log lines about changes of one instance's rate limit: an instance may state another
// value in each answer.
const (
	limitChangeLines    = 5
	limitChangeInterval = time.Second
)

// statedLimit is the rate limit that an instance states. It is not safe for concurrent use.
type statedLimit struct {
	current callapi.RateLimit
	// statedAt is when the latest answer that states a limit was received, and since when the first of
	// them was.
	statedAt, since time.Time
	// answered is true once an answer of the instance showed whether it states a limit. Until then the
	// limits that callers know are used (adopt).
	answered bool
	// sent counts the calls that were sent to the instance under the limit, and repeats those of them
	// that an instance may have received before.
	sent, repeats int64
	changeLog     rate.Sometimes
}

func newStatedLimit() statedLimit {
	return statedLimit{changeLog: rate.Sometimes{First: limitChangeLines, Interval: limitChangeInterval}}
}

// record records the limit in an answer and reports whether the limit changed. sentAt is when the
// request of the answer was sent, and ran is false for an answer that refuses the request.
//
// An answer without a limit ends the limit only if its request was sent after the latest answer with a
// limit arrived, because answers of concurrent requests may be recorded in another order than the
// instance wrote them. A refusal does not end it: instances under overload may refuse requests before
// they consider what to state.
func (l *statedLimit) record(stated callapi.RateLimit, sentAt, now time.Time, ran bool) (changed bool) {
	previous := l.current
	switch {
	case stated.Stated:
		l.statedAt = now
		l.answered = true
		l.set(stated, now)
	case ran && sentAt.After(l.statedAt):
		l.answered = true
		l.current = callapi.RateLimit{}
	}
	return l.current != previous
}

// adopt uses a limit that a caller knows from earlier answers, and reports whether the limit changed. It
// has an effect only on a daemon that has not received an answer of the instance yet, such as after a
// restart. Of several such limits the lowest is used, because it is not known which one is the latest.
func (l *statedLimit) adopt(known callapi.RateLimit, now time.Time) (changed bool) {
	if l.answered || !known.Stated || (l.current.Stated && l.current.PerSecond <= known.PerSecond) {
		return false
	}
	l.set(known, now)
	return true
}

func (l *statedLimit) set(limit callapi.RateLimit, now time.Time) {
	if !l.current.Stated {
		l.since, l.sent, l.repeats = now, 0, 0
	}
	l.current = limit
}

// countSent counts a call that is sent to the instance.
func (l *statedLimit) countSent(repeat bool) {
	if !l.current.Stated {
		return
	}
	l.sent++
	if repeat {
		l.repeats++
	}
}

// recordStatement records what an instance states in a response, withdraws the instance if it leaves, and
// returns what it states now. sentAt is when the request was sent, and refusal the error of responseRefusal.
func (o *Origin) recordStatement(instance *Instance, response *http.Response, sentAt time.Time, refusal error) callapi.Statement {
	if result.Is(refusal, result.CallNotRunUnknownHere) {
		// The response is from the successor of the instance at its address.
		return callapi.Statement{}
	}
	stated := instance.recordStatement(o.config.Envelope.Statement(response.Header), sentAt, refusal == nil)
	if stated.Leaving && !o.isWithdrawn(instance.Name) {
		o.withdraw(instance.Name, withdrawnByStatement)
	}
	return stated
}

// recordStatement records what the instance states in an answer, and returns what it states now; see
// statedLimit.record for sentAt and ran.
func (i *Instance) recordStatement(statement callapi.Statement, sentAt time.Time, ran bool) callapi.Statement {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	wasLimited := i.stated.current.Stated
	if i.stated.record(statement.Limit, sentAt, now, ran) {
		i.applyLimit(wasLimited, now)
	}
	if statement.Leaving && !i.statedLeaving {
		i.statedLeaving = true
		i.logger.Info("instance.leaving_stated", "instance", i.Name, "service", i.Service)
	}
	return callapi.Statement{Limit: i.stated.current, Leaving: i.statedLeaving}
}

// adoptLimit uses the rate limit that the sender of a call knows of the instance (statedLimit.adopt).
func (i *Instance) adoptLimit(open *lapisv1.CallOpen) {
	if open.StatedLimit == nil || !(open.GetStatedLimit() >= 0) {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	wasLimited := i.stated.current.Stated
	if i.stated.adopt(callapi.RateLimit{PerSecond: open.GetStatedLimit(), Stated: true}, now) {
		i.applyLimit(wasLimited, now)
	}
}

// applyLimit applies a changed limit to the queue and logs it; the caller holds mutex.
func (i *Instance) applyLimit(wasLimited bool, now time.Time) {
	if limit := i.stated.current; limit.Stated {
		i.queue.SetRateLimit(limit.PerSecond)
	} else {
		i.queue.ClearRateLimit()
	}
	i.logLimit(wasLimited, now)
}

// logLimit logs a change of the stated limit; the caller holds mutex.
func (i *Instance) logLimit(wasLimited bool, now time.Time) {
	stated := &i.stated
	switch {
	case !wasLimited:
		i.logger.Info("instance.limited", "instance", i.Name, "service", i.Service, "rate", stated.current.PerSecond, "answered", stated.answered)
	case !stated.current.Stated:
		i.logger.Info("instance.unlimited", "instance", i.Name, "service", i.Service,
			"limited_ms", now.Sub(stated.since).Milliseconds(), "sent", stated.sent, "repeats", stated.repeats,
			"refused", i.queue.RateLimitUse().Refused)
	default:
		stated.changeLog.Do(func() {
			i.logger.Info("instance.limit_changed", "instance", i.Name, "service", i.Service, "rate", stated.current.PerSecond,
				"sent", stated.sent, "repeats", stated.repeats)
		})
	}
}

// countSent counts a call that is sent to the instance.
func (i *Instance) countSent(repeat bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.stated.countSent(repeat)
}

// LimitUse is the usage of the rate limit that an instance states.
type LimitUse struct {
	// PerSecond is the limit in calls per second; 0 without a limit.
	PerSecond float64
	// Tokens is the number of calls that may be sent now, and Refused the number of calls refused because
	// of a limit since the daemon knows the instance.
	Tokens  float64
	Refused int64
	// Sent is the number of calls that were sent to the instance since it states the limit, and Repeats
	// the number of those that an instance may have received before. Both stay after the limit has ended.
	Sent, Repeats int64
}

// LimitUse returns the usage of the rate limit that the instance states.
func (i *Instance) LimitUse() LimitUse {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	queued := i.queue.RateLimitUse()
	return LimitUse{
		PerSecond: i.stated.current.PerSecond, Tokens: queued.Tokens, Refused: queued.Refused, Sent: i.stated.sent, Repeats: i.stated.repeats,
	}
}
