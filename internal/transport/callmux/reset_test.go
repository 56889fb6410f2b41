package callmux

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Converting a refusal to a reset and back keeps the details about the instance.
func TestResetKeepsRefusalDetails(t *testing.T) {
	refused := result.Errorf(result.CallNotRunOverloaded, "full")
	refused.RetryAfter, refused.WorkPercent, refused.WorkAge = 80*time.Millisecond, 250, 40*time.Millisecond
	assert.DeepEqual(t, errorOf(resetOf(1, refused).GetReset_()), error(refused))
}

// Guards against a code that tells nothing about the call and that is then taken for final or for a promise.
func TestResetWithTheCodeOfAnotherLayerLeavesTheOutcomeUnknown(t *testing.T) {
	for _, code := range []result.Code{result.ProtocolBadFrame, result.ProtocolTimeout, result.PlatformUnavailable, result.ConfigBadName} {
		assert.Assert(t, result.Is(errorOf(resetOf(1, result.Errorf(code, "")).GetReset_()), result.CallUnknownOutcome), "%s", code)
	}
}
