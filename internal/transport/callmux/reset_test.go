package callmux

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// What a refusal tells of its instance reaches the sender of the call.
func TestResetKeepsWhatARefusalTells(t *testing.T) {
	refused := result.Errorf(result.CallNotRunOverloaded, "full")
	refused.RetryAfter, refused.WorkPercent, refused.WorkAge = 80*time.Millisecond, 250, 40*time.Millisecond
	assert.DeepEqual(t, errorOf(resetOf(1, refused).GetReset_()), error(refused))
}
