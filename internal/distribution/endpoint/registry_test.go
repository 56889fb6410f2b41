package endpoint_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/endpoint"
)

var now = time.Unix(1000, 0)

func statement(incarnation, sequence uint64, state lapisv1.Endpoint_State) *lapisv1.Endpoint {
	return &lapisv1.Endpoint{Service: "s", Instance: "i", Node: "n", Incarnation: incarnation, Sequence: sequence, Region: "r1", State: state}
}

// TestMergeDoesNotDependOnOrder merges random statements in two random orders, with repetitions.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) *lapisv1.Endpoint {
			state := lapisv1.Endpoint_State(rapid.IntRange(1, 4).Draw(rt, "state"))
			return statement(rapid.Uint64Range(1, 3).Draw(rt, "incarnation"), rapid.Uint64Range(1, 4).Draw(rt, "sequence"), state)
		}), 1, 12).Draw(rt, "statements")
		registry1, registry2 := endpoint.NewRegistry(), endpoint.NewRegistry()
		for _, merged := range statements {
			registry1.Merge(merged, "", now)
		}
		for _, merged := range rapid.Permutation(append(statements, statements...)).Draw(rt, "order") {
			registry2.Merge(merged, "", now)
		}
		first, _ := registry1.Get(endpoint.Key{Service: "s", Instance: "i"})
		second, _ := registry2.Get(endpoint.Key{Service: "s", Instance: "i"})
		assert.Assert(rt, proto.Equal(first, second))
	})
}

func TestSuspicionIsRefutedByTheOwner(t *testing.T) {
	registry := endpoint.NewRegistry()
	registry.Merge(statement(1, 1, lapisv1.Endpoint_STATE_READY), "child", now)
	lost := registry.ChildLost("child")
	assert.Equal(t, len(lost), 1)
	assert.Assert(t, registry.Suspect(lost[0], 1, 1, now))
	suspected, _ := registry.Get(lost[0])
	assert.Equal(t, suspected.GetRegion(), "r1")
	assert.Equal(t, len(registry.SubtreeSince("other", 0)), 1, "the suspicion is not sent to the parent")
	assert.Assert(t, registry.Merge(statement(1, 2, lapisv1.Endpoint_STATE_READY), "", now))
	assert.Assert(t, !registry.Suspect(lost[0], 1, 1, now), "a late suspicion of an older statement is applied")
	current, _ := registry.Get(lost[0])
	assert.Equal(t, current.GetState(), lapisv1.Endpoint_STATE_READY)
}

func TestSuspicionWaitsForADaemonThatMoved(t *testing.T) {
	registry := endpoint.NewRegistry()
	registry.Merge(statement(1, 1, lapisv1.Endpoint_STATE_READY), "old-parent", now)
	lost := registry.ChildLost("old-parent")
	registry.Merge(statement(1, 1, lapisv1.Endpoint_STATE_READY), "new-parent", now)
	assert.Assert(t, !registry.Suspect(lost[0], 1, 1, now))
}

func TestCompleteSetDropsWhatIsGone(t *testing.T) {
	registry := endpoint.NewRegistry()
	registry.Merge(statement(1, 1, lapisv1.Endpoint_STATE_READY), "", now)
	own := statement(1, 1, lapisv1.Endpoint_STATE_READY)
	own.Instance, own.Node = "own", "self"
	registry.Merge(own, "", now)
	registry.SetComplete("s", "self", nil)
	assert.Equal(t, len(registry.Service("s")), 1)
	assert.Equal(t, registry.Service("s")[0].GetInstance(), "own")
}

func TestSuspectEntriesExpire(t *testing.T) {
	registry := endpoint.NewRegistry()
	registry.Merge(statement(1, 1, lapisv1.Endpoint_STATE_SUSPECT), "", now)
	assert.Equal(t, registry.Expire(now), 0)
	assert.Equal(t, registry.Expire(now.Add(time.Second)), 1)
	assert.Equal(t, registry.Len(), 0)
}
