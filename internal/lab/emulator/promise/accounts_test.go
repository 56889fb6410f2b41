package promise

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Checks that the ledger reports a breach when an instance receives an API key or the wrong account,
// and when a revoked key is accepted for longer than Bounds.RevocationDelay.
func TestAccountsOfRuns(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		account string
		head    http.Header
		// revoked is the time between the revocation of the key and the sending of the request; 0 means
		// that the key was not revoked.
		revoked time.Duration
		breach  Kind
	}{
		"correct account":      {"alpha", http.Header{"Other": {"x"}}, 0, ""},
		"another account":      {"beta", nil, 0, Unasked},
		"no account":           {"", nil, 0, Unasked},
		"key in the header":    {"alpha", http.Header{"Other": {"x", "has a key inside"}}, 0, Unasked},
		"revoked just before":  {"alpha", nil, 900 * time.Millisecond, ""},
		"revoked for too long": {"alpha", nil, 1100 * time.Millisecond, Config},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(Bounds{RevocationDelay: time.Second})
			if row.revoked > 0 {
				ledger.revokedAt["a key"] = now.Add(-row.revoked)
			}
			ledger.Sent(Request{ID: "r", Safe: true, Services: map[string]bool{"desk": true}, SentAt: now, APIKey: "a key", AllowedAccounts: map[string]bool{"alpha": true}})
			ledger.Ran(Run{Request: "r", Service: "desk", Account: row.account, Header: row.head, At: now})
			breaches := ledger.Breaches()
			if row.breach == "" {
				assert.Equal(t, len(breaches), 0, "%+v", breaches)
				return
			}
			assert.Equal(t, len(breaches), 1, "%+v", breaches)
			assert.Equal(t, breaches[0].Kind, row.breach)
		})
	}
}

// Only a request with a revoked key may be answered with 401.
func TestUnauthorizedIsDeniedUnlessTheKeyWasRevoked(t *testing.T) {
	ledger := NewLedger(Bounds{})
	ledger.KeyRevoked("gone")
	for _, key := range []string{"gone", "kept", ""} {
		ledger.Sent(Request{ID: "r-" + key, APIKey: key})
		ledger.Answered(Answer{Request: "r-" + key, Status: http.StatusUnauthorized})
	}
	ledger.Answered(Answer{Request: "r-gone", Status: http.StatusNotFound})
	denied := []string{}
	for _, breach := range ledger.Breaches() {
		assert.Equal(t, breach.Kind, Denied)
		denied = append(denied, breach.Request)
	}
	assert.DeepEqual(t, denied, []string{"r-kept", "r-", "r-gone"})
}
