package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Checks the relations that must hold between the limits and timeouts of callers' connections.
func TestRelationsBetweenTheBounds(t *testing.T) {
	assert.Assert(t, headerTimeout < callerIdleTimeout && bodyIdleTimeout < callerIdleTimeout, "a timeout within a request is not less than the one between requests")
	assert.Assert(t, configurationTimeout < refusal.DefaultRetryAfter, "waiting for the configuration takes longer than a refused caller stays away")
	assert.Assert(t, trialTimeout < refusal.DefaultRetryAfter, "claiming a trial takes longer than a refused caller stays away")
	assert.Assert(t, retry.MaxKeptAnswerBytes <= pipeline.DefaultLimits.BytesPerConnection, "a buffered answer does not fit into the limit of a connection")
	assert.Assert(t, callmux.MaxBufferedBodyBytes < maxHeldBodyBytes, "held bodies are not longer than the bodies that are always buffered")
	assert.Assert(t, 4*maxHeldBodyBytes <= maxTotalHeldBytes, "fewer than four long bodies use up the total")
	assert.Assert(t, maxHeldBodyBytes <= maxBodyBytes)
}

// The limits of one connection are lower than those of all connections, so that a single caller cannot
// use up the latter.
func TestLimitsOfOneConnectionLieBelowThoseOfAll(t *testing.T) {
	limits := pipeline.DefaultLimits
	assert.Assert(t, limits.RequestsPerConnection < limits.PipelinedRequests)
	assert.Assert(t, limits.BytesPerConnection < limits.TotalBytes)
}
