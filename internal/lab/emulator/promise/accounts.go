package promise

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// KeyRevoked records that the store acknowledged a configuration without an API key.
func (l *Ledger) KeyRevoked(key string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.revoked[key] = time.Now()
}

// checkAccount checks that the instance is told the account of the request and not its key, and that
// the key was not revoked when the request was sent. The caller holds mutex.
func (l *Ledger) checkAccount(request Request, run Run) {
	if request.Accounts != nil && !request.Accounts[run.Account] {
		l.note(Unasked, run.Request, fmt.Sprintf("the instance was told account %q", run.Account))
	}
	if request.Key != "" && holds(run.Head, request.Key) {
		l.note(Unasked, run.Request, "the instance was shown the API key")
	}
	revokedAt, revoked := l.revoked[request.Key]
	if revoked && l.bounds.Apply > 0 && request.SentAt.Sub(revokedAt) > l.bounds.Apply {
		l.note(Config, run.Request, fmt.Sprintf("sent %s after its key was revoked", request.SentAt.Sub(revokedAt)))
	}
}

// holds reports whether a text is a part of any field of a head.
func holds(head http.Header, text string) bool {
	for _, values := range head {
		if strings.Contains(strings.Join(values, "\n"), text) {
			return true
		}
	}
	return false
}

// mayBeUnauthorized reports whether a request may be answered with 401. The caller holds mutex.
func (l *Ledger) mayBeUnauthorized(answer Answer) bool {
	_, revoked := l.revoked[l.requests[answer.Request].Key]
	return answer.Status == http.StatusUnauthorized && revoked
}
