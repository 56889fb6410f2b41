package promise

import (
	"fmt"
	"net/http"
	"time"
)

// Unanswered is a request on a connection that a daemon ended before the whole answer.
type Unanswered struct {
	Request string
	// SentAt is when the request's last byte was sent, EndedAt when its caller saw the
	// connection end.
	SentAt, EndedAt time.Time
	// How tells how the connection ended.
	How string
}

// Unanswered records a request that got no answer. It is lost unless it crossed the end of its
// connection: sent so late that the daemon need not have read it, and not passed on either.
func (l *Ledger) Unanswered(unanswered Unanswered) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	age := unanswered.EndedAt.Sub(unanswered.SentAt)
	passedOn := len(l.runs[unanswered.Request]) > 0
	if age <= l.bounds.LossSlack && !passedOn {
		return
	}
	if l.lossExcused(unanswered.Request, unanswered.SentAt, unanswered.EndedAt) {
		return
	}
	l.note(Lost, unanswered.Request, fmt.Sprintf("%s after it was sent its connection ended (%s), passed on: %t", age, unanswered.How, passedOn))
}

// checkOwnFailure checks that a daemon does not put a failure of its own in place of the answer
// of an instance that is at work; the caller holds mutex.
func (l *Ledger) checkOwnFailure(answer Answer, at time.Time) {
	own := answer.Stamp == "" && (answer.Status == http.StatusBadGateway || answer.Status == http.StatusGatewayTimeout)
	request, known := l.requests[answer.Request]
	if l.bounds.LossSlack == 0 || !own || !known || len(l.runs[answer.Request]) == 0 {
		return
	}
	if !l.lossExcused(answer.Request, request.SentAt, at) {
		l.note(Lost, answer.Request, fmt.Sprintf("answered %d after %s although its instance worked on it", answer.Status, at.Sub(request.SentAt)))
	}
}

// lossExcused reports whether a request may end without its answer: its time was over, an instance
// failed under it, or daemons were killed shortly before it or while it was open. The caller holds
// mutex.
func (l *Ledger) lossExcused(id string, sentAt, endedAt time.Time) bool {
	if wait := l.requests[id].Wait; wait > 0 && !endedAt.Before(l.requests[id].SentAt.Add(wait)) {
		return true
	}
	for _, killed := range l.killed {
		if killed.Add(l.bounds.Contact).After(sentAt) && !killed.After(endedAt) {
			return true
		}
	}
	for _, run := range l.runs[id] {
		if l.failedRuns[run.Stamp] || l.ended[run.Instance] {
			return true
		}
	}
	return false
}

// DaemonsKilled records that daemons are about to end without a planned stop, or to be cut off.
func (l *Ledger) DaemonsKilled(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.killed = append(l.killed, at)
}

// RunFailed records that an instance does not answer a run as it should; stamp is the run's.
func (l *Ledger) RunFailed(stamp string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failedRuns[stamp] = true
}

// InstanceEnded records that an instance is about to end.
func (l *Ledger) InstanceEnded(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[instance] = true
}
