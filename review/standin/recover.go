package main

import (
	"fmt"
	"net/http"
	"time"
)

// recoveryBound is the site's bound recovery-s.
const recoveryBound = 15 * time.Second

// finishRecovery ends a case with the verdict by RECOVER: traffic began at beganAt, the final fault came at
// faultAt, and the machines were back at backAt.
func (l *lab) finishRecovery(beganAt, faultAt, backAt time.Time) {
	servedBefore, sentBefore := l.served(beganAt, faultAt)
	servedAfter, sentAfter := l.served(backAt.Add(recoveryBound), time.Now())
	broken := 4*servedBefore >= sentBefore && 4*servedAfter < sentAfter
	l.finish(broken, fmt.Sprintf("RECOVER: %d of %d requests were served before the final fault, %d of %d that were sent more than %s after the machines were back",
		servedBefore, sentBefore, servedAfter, sentAfter, recoveryBound))
}

// served counts the requests sent in a span of time, and those that were served.
func (l *lab) served(from, to time.Time) (served, sent int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, a := range l.answers {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.status == http.StatusOK {
			served++
		}
	}
	return served, sent
}
