package pipeline

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A connection that acquires a slot while it is queued for one, because its own answer woke it, must
// leave the queue. Otherwise the next free slot would wake it without need, and another connection
// would keep waiting although a slot is free.
func TestConnectionWithAPlaceDoesNotWaitForOne(t *testing.T) {
	shared := &quota{limits: Limits{PipelinedRequests: 1}}
	first, second, third := &connection{}, &connection{}, &connection{}
	assert.Assert(t, shared.acquireRequest(first))
	assert.Assert(t, !shared.acquireRequest(second))
	assert.Assert(t, !shared.acquireRequest(third))
	shared.releaseRequest()
	assert.Assert(t, slices.Equal(shared.waiting, []*connection{third}), "the second connection is woken")
	assert.Assert(t, shared.acquireRequest(third), "its own answer woke the third connection before the second tried again")
	assert.Assert(t, !shared.acquireRequest(second))
	assert.Assert(t, slices.Equal(shared.waiting, []*connection{second}))
}
