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
	l.revokedAt[key] = time.Now()
}

// checkAccount checks that the instance received the request's account but not its API key, and that
// the key had not been revoked for longer than Bounds.RevocationDelay when the request was sent. The
// caller holds mutex.
func (l *Ledger) checkAccount(request Request, run Run) {
	if request.AllowedAccounts != nil && !request.AllowedAccounts[run.Account] {
		l.addBreach(Unasked, run.Request, fmt.Sprintf("the instance received account %q", run.Account))
	}
	if request.APIKey != "" && headerContains(run.Header, request.APIKey) {
		l.addBreach(Unasked, run.Request, "the instance received the API key")
	}
	revokedAt, revoked := l.revokedAt[request.APIKey]
	if revoked && l.bounds.RevocationDelay > 0 && request.SentAt.Sub(revokedAt) > l.bounds.RevocationDelay {
		l.addBreach(Config, run.Request, fmt.Sprintf("sent %s after its key was revoked", request.SentAt.Sub(revokedAt)))
	}
}

// headerContains reports whether the values of any header field contain text.
func headerContains(head http.Header, text string) bool {
	for _, values := range head {
		if strings.Contains(strings.Join(values, "\n"), text) {
			return true
		}
	}
	return false
}

// mayBeUnauthorized reports whether the answer is a 401 for a request whose API key was revoked, which
// is allowed. The caller holds mutex.
func (l *Ledger) mayBeUnauthorized(answer Answer) bool {
	_, revoked := l.revokedAt[l.requests[answer.Request].APIKey]
	return answer.Status == http.StatusUnauthorized && revoked
}
