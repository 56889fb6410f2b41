package promise

import (
	"fmt"
	"maps"
	"net/http"
	"time"
)

// Unanswered is a request whose connection a daemon closed before it sent the complete answer.
type Unanswered struct {
	Request string
	// SentAt is the time at which the request's last byte was sent, EndedAt the time at which its caller
	// saw the connection end.
	SentAt, EndedAt time.Time
	// Cause describes how the connection ended.
	Cause string
}

// Unanswered records a request without an answer. The request counts as lost unless it crossed the
// close of its connection: it was sent at most LossSlack before the close, so that the daemon need not
// have read it, and it reached no instance.
func (l *Ledger) Unanswered(unanswered Unanswered) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	age := unanswered.EndedAt.Sub(unanswered.SentAt)
	forwarded := len(l.runs[unanswered.Request]) > 0
	if age <= l.bounds.LossSlack && !forwarded {
		return
	}
	if excuse := l.lossExcuse(unanswered.Request, unanswered.SentAt, unanswered.EndedAt); excuse != "" {
		l.excused[excuse]++
		return
	}
	l.addBreach(Lost, unanswered.Request, fmt.Sprintf("connection ended %s after the request was sent (%s), forwarded: %t", age, unanswered.Cause, forwarded))
}

// checkGatewayError checks that a daemon does not answer with 502 or 504 while an instance works on
// the request. The caller holds mutex.
func (l *Ledger) checkGatewayError(answer Answer, at time.Time) {
	gatewayError := answer.Stamp == "" && (answer.Status == http.StatusBadGateway || answer.Status == http.StatusGatewayTimeout)
	request, known := l.requests[answer.Request]
	if l.bounds.LossSlack == 0 || !gatewayError || !known || len(l.runs[answer.Request]) == 0 {
		return
	}
	if excuse := l.lossExcuse(answer.Request, request.SentAt, at); excuse != "" {
		l.excused[excuse]++
	} else {
		l.addBreach(Lost, answer.Request, fmt.Sprintf("answered %d after %s although an instance worked on the request", answer.Status, at.Sub(request.SentAt)))
	}
}

// Reasons that allow a request to end without its answer.
const (
	excuseDeadline = "its deadline had passed"
	excuseKill     = "daemons were killed or suspended"
	excuseStop     = "still running in the last part of a stop's grace period"
	excuseInstance = "its instance failed or ended"
)

// Excused returns the number of requests that were allowed to end without their answer, by reason.
func (l *Ledger) Excused() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return maps.Clone(l.excused)
}

// lossExcuse returns the reason that allows a request to end without its answer, empty if there is
// none. The reasons are a passed deadline, a failed instance, daemons that were killed shortly before
// or during the request, and a request that outlasted the planned stop of its daemon. The caller holds
// mutex.
func (l *Ledger) lossExcuse(id string, sentAt, endedAt time.Time) string {
	if wait := l.requests[id].Timeout; wait > 0 && !endedAt.Before(l.requests[id].SentAt.Add(wait)) {
		return excuseDeadline
	}
	for _, killed := range l.killTimes {
		if killed.Add(l.bounds.PropagationDelay).After(sentAt) && !killed.After(endedAt) {
			return excuseKill
		}
	}
	if len(l.runs[id]) > 0 && l.outlastedStop(l.requests[id].DaemonAddress, sentAt, endedAt) {
		return excuseStop
	}
	for _, run := range l.runs[id] {
		if l.failedRuns[run.Stamp] || l.endedInstances[run.Instance] {
			return excuseInstance
		}
	}
	return ""
}

// Requests that a planned stop may cut: those sent at most stopRequestWindow after the stop began, in
// the last finalGraceShare of the grace period, while an instance works on them. The platform's rules
// state both values.
const (
	stopRequestWindow = 3 * time.Second
	finalGraceShare   = 1.0 / 6
)

// outlastedStop reports whether a planned stop of its daemon was allowed to cut a request: the request
// ended in the last part of the grace period. The caller holds mutex.
func (l *Ledger) outlastedStop(daemon string, sentAt, endedAt time.Time) bool {
	for _, began := range l.stopTimes[daemon] {
		end := began.Add(l.bounds.GracePeriod)
		cutAllowedFrom := end.Add(-time.Duration(finalGraceShare * float64(l.bounds.GracePeriod)))
		if sentAt.Sub(began) <= stopRequestWindow && !endedAt.Before(cutAllowedFrom) && !endedAt.After(end) {
			return true
		}
	}
	return false
}

// StopBegan records the start of a planned stop of a daemon, which is identified by its address for
// callers.
func (l *Ledger) StopBegan(daemon string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopTimes[daemon] = append(l.stopTimes[daemon], at)
}

// DaemonsKilled records that daemons are about to end without a planned stop or to be disconnected.
func (l *Ledger) DaemonsKilled(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.killTimes = append(l.killTimes, at)
}

// RunFailed records that an instance does not answer a run correctly. stamp identifies the run.
func (l *Ledger) RunFailed(stamp string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failedRuns[stamp] = true
}

// InstanceEnded records that an instance is about to end.
func (l *Ledger) InstanceEnded(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.endedInstances[instance] = true
}
