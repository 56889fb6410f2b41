package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Guards against a configuration that ends all daemons at the same time.
func TestPanicRefusesTheConfiguration(t *testing.T) {
	defer containment.Enable(func(string, any, []byte) {})()
	next, err := contained(func() (*Snapshot, error) { panic("odd bundle") })
	assert.Assert(t, next == nil && result.Is(err, result.DistributionBadBundle), "%v", err)
}
