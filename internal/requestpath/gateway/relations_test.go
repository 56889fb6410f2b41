package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// How the bounds of the callers' side hang together; each line fails when one is moved past
// another.
func TestRelationsBetweenTheBounds(t *testing.T) {
	assert.Assert(t, headTimeout < callerIdle && bodyIdle < callerIdle, "a pause within a request outlasts one between requests")
	assert.Assert(t, configurationPatience < refusal.DefaultRetryAfter, "waiting takes longer than a refused caller stays away")
	assert.Assert(t, trialTimeout < refusal.DefaultRetryAfter, "the question for a trial takes longer than a refused caller stays away")
	assert.Assert(t, retry.MaxKeptAnswerBytes <= pipeline.DefaultLimits.BytesPerConnection, "an answer read whole does not fit a connection")
	assert.Assert(t, callmux.BufferedBodyBytes < maxHeldBody, "no body that is held is longer than those read whole anyway")
	assert.Assert(t, 4*maxHeldBody <= maxHeldBodies, "a few long bodies take all the room")
	assert.Assert(t, maxHeldBody <= maxBodyBytes)
}

// What one connection may hold is less than what all may, so that no caller takes all of it.
func TestLimitsOfOneConnectionLieBelowThoseOfAll(t *testing.T) {
	limits := pipeline.DefaultLimits
	assert.Assert(t, limits.RequestsPerConnection < limits.RequestsAhead)
	assert.Assert(t, limits.BytesPerConnection < limits.Bytes)
}
