package promise

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Instances are told the account of a key and never the key, and a revoked key is served no longer
// than the bound.
func TestAccountsOfRuns(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		account string
		head    http.Header
		// revoked is how long before it was sent the request's key was revoked; 0 for never.
		revoked time.Duration
		breach  Kind
	}{
		"as it should be":      {"alpha", http.Header{"Other": {"x"}}, 0, ""},
		"another account":      {"beta", nil, 0, Unasked},
		"no account":           {"", nil, 0, Unasked},
		"the key shown":        {"alpha", http.Header{"Other": {"x", "has a key inside"}}, 0, Unasked},
		"revoked a moment ago": {"alpha", nil, 900 * time.Millisecond, ""},
		"revoked for too long": {"alpha", nil, 1100 * time.Millisecond, Config},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := NewLedger(Bounds{Apply: time.Second})
			if row.revoked > 0 {
				ledger.revoked["a key"] = now.Add(-row.revoked)
			}
			ledger.Sent(Request{ID: "r", Safe: true, Services: map[string]bool{"desk": true}, SentAt: now, Key: "a key", Accounts: map[string]bool{"alpha": true}})
			ledger.Ran(Run{Request: "r", Service: "desk", Account: row.account, Head: row.head, At: now})
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

// Only a request whose key was revoked may get 401.
func TestUnauthorizedIsDeniedUnlessTheKeyWasRevoked(t *testing.T) {
	ledger := NewLedger(Bounds{})
	ledger.KeyRevoked("gone")
	for _, key := range []string{"gone", "kept", ""} {
		ledger.Sent(Request{ID: "r-" + key, Key: key})
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
