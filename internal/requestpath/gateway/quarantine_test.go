package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The Retry-After of a quarantined request is the time of the next trial, and not a random time as for a
// refusal for load: an earlier retry would be refused again.
func TestQuarantinedCallerReturnsForTheTrial(t *testing.T) {
	route := &lapisv1.Route{CallClass: &lapisv1.CallClass{TargetLatencyMillis: 200}}
	err := withRetryAfter(quarantine.Verdict{Quarantined: true, Crashes: 3, RetryAfter: 42 * time.Second}.Err(), route)
	assert.Equal(t, retryAfterOf(err), 42*time.Second)
	assert.Equal(t, statusOf(result.CallNotRunQuarantined), 503)
	assert.NilError(t, quarantine.Verdict{}.Err())
}

// A call is repeated after the first instance that crashed, but not after the second.
func TestRepeatsEndWithTheSecondCrash(t *testing.T) {
	for crashes, may := range map[int]bool{0: true, 1: true, 2: false, 3: false} {
		attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{Fraction: 1, Burst: 10})
		attempt.enterBudget("desk")
		attempt.opening.Service = "desk"
		err := result.Errorf(result.CallInstanceCrashed, "crashed")
		err.Crashes = crashes
		assert.Equal(t, attempt.tryAgain(attempt.failureOf(t.Context(), err)), may, "after %d", crashes)
	}
}
