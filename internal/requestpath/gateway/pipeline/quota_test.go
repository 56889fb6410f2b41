package pipeline

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A connection that takes a place while it is in the queue for one, woken by its own answer,
// waits no more: the next place that becomes free would wake it in vain and leave another
// connection asleep beside a free place.
func TestConnectionWithAPlaceDoesNotWaitForOne(t *testing.T) {
	shared := &quota{limits: Limits{RequestsAhead: 1}}
	first, second, third := &connection{}, &connection{}, &connection{}
	assert.Assert(t, shared.acquireRequest(first))
	assert.Assert(t, !shared.acquireRequest(second))
	assert.Assert(t, !shared.acquireRequest(third))
	shared.releaseRequest()
	assert.Assert(t, slices.Equal(shared.waiting, []*connection{third}), "the second is woken")
	assert.Assert(t, shared.acquireRequest(third), "its own answer woke it before the second looked")
	assert.Assert(t, !shared.acquireRequest(second))
	assert.Assert(t, slices.Equal(shared.waiting, []*connection{second}))
}
