package opapi_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
)

// TestClientWaitsForLongerThanTheDaemonServes holds the relations between the times of
// the two sides and of the daemon's own requests.
func TestClientWaitsForLongerThanTheDaemonServes(t *testing.T) {
	assert.Assert(t, opapi.ServeTimeout < opapi.ClientTimeout, "the client gives up what the daemon still does")
	assert.Assert(t, opapi.DefaultWait <= opapi.MaxWait, "the default wait is refused")
	assert.Assert(t, 3*objectapi.RequestTimeout < opapi.ServeTimeout, "three requests to a slow object API take all the time of a request")
}
