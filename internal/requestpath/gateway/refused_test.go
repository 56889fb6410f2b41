package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Guards against a status that promises that a call did not run for a code that does not prove it.
func TestStatusPromisesOnlyWhatTheCodeProves(t *testing.T) {
	codes := []result.Code{5999, 9999}
	for _, entry := range result.Table() {
		codes = append(codes, entry.Code)
	}
	for _, code := range codes {
		switch status := statusOf(code); status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			assert.Check(t, code.NotRun(), "code %d (%s) gets status %d", code, code, status)
		}
	}
}
