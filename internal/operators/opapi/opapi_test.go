package opapi_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
)

// TestClientTimeoutExceedsServeTimeout checks the relations between the timeouts of the client, of the
// daemon and of the daemon's own requests to the object API.
func TestClientTimeoutExceedsServeTimeout(t *testing.T) {
	assert.Assert(t, opapi.ServeTimeout < opapi.ClientTimeout, "the client abandons requests that the daemon still carries out")
	assert.Assert(t, opapi.DefaultWait <= opapi.MaxWait, "the daemon refuses the default wait")
	assert.Assert(t, 3*objectapi.RequestTimeout < opapi.ServeTimeout, "three requests to a slow object API exceed ServeTimeout")
}
