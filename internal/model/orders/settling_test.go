package orders_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// clock is set by the test.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// follower returns orders in force with a clock of their own.
func follower() (*orders.Current, *clock) {
	ticking := &clock{time.Unix(1000, 0)}
	return &orders.Current{Now: ticking.read}, ticking
}

// given returns a set at a place in the store's history; evacuations are zones with the revisions of
// their orders.
func given(t *testing.T, era, revision uint64, evacuations map[string]uint64) *orders.Set {
	t.Helper()
	at, err := position.In(era, revision)
	assert.NilError(t, err)
	message := &lapisv1.Orders{Revision: uint64(at)}
	for zone, order := range evacuations {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: order})
	}
	return orders.NewSet(message)
}

func TestOrderThatTheStoreLostIsFollowedUntilItIsWrittenAgain(t *testing.T) {
	current, ticking := follower()
	current.ApplyStored(given(t, 1, 50, map[string]uint64{"a": 50}))
	ticking.now = ticking.now.Add(time.Minute)
	current.ApplyStored(given(t, 2, 20, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	current.ApplyStored(given(t, 2, 21, map[string]uint64{"b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	current.ApplyStored(given(t, 2, 22, map[string]uint64{"a": 22, "b": 21}))
	ticking.now = ticking.now.Add(time.Minute)
	current.ApplyStored(given(t, 2, 22, map[string]uint64{"a": 22, "b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	current.ApplyStored(given(t, 2, 23, map[string]uint64{"b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"b"})
}

func TestOrderThatNobodyWritesAgainEnds(t *testing.T) {
	current, ticking := follower()
	current.ApplyStored(given(t, 1, 50, map[string]uint64{"a": 50}))
	current.ApplyStored(given(t, 2, 20, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	ticking.now = ticking.now.Add(time.Minute)
	// The store is quiet: its revision is the one of before.
	_, changed := current.ApplyStored(given(t, 2, 20, nil))
	assert.Assert(t, changed)
	assert.DeepEqual(t, current.Load().Zones(), []string{})
}

func TestOrderThatWasTakenBackDoesNotComeBackWithTheCopy(t *testing.T) {
	current, ticking := follower()
	current.ApplyStored(given(t, 1, 40, map[string]uint64{"a": 40}))
	current.ApplyStored(given(t, 1, 50, nil))
	current.ApplyStored(given(t, 2, 45, map[string]uint64{"a": 40}))
	assert.DeepEqual(t, current.Load().Zones(), []string{})
	// A new order for the same zone is followed at once.
	current.ApplyStored(given(t, 2, 46, map[string]uint64{"a": 46}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	ticking.now = ticking.now.Add(time.Minute)
	current.ApplyStored(given(t, 2, 47, map[string]uint64{"a": 46}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
}

// A daemon that starts meanwhile knows nothing of before, and tells what the store holds; those that
// carry orders go on with them, and tell them to each other.
func TestOrdersAreCarriedPastWhatOthersTell(t *testing.T) {
	reader, ticking := follower()
	other, _ := follower()
	lost := given(t, 1, 50, map[string]uint64{"a": 50})
	reader.ApplyStored(lost)
	other.ApplyReceived(lost)
	reader.ApplyStored(given(t, 2, 20, nil))
	other.ApplyReceived(reader.Load())
	assert.DeepEqual(t, other.Load().Zones(), []string{"a"})
	other.ApplyReceived(given(t, 2, 30, nil))
	assert.DeepEqual(t, other.Load().Zones(), []string{"a"})
	ticking.now = ticking.now.Add(time.Minute)
	reader.ApplyStored(given(t, 2, 30, nil))
	assert.DeepEqual(t, reader.Load().Zones(), []string{})
	assert.Assert(t, reader.Load().Revision() > other.Load().Revision(), "the other one asks for the newer orders")
}

// An answer of an earlier era changes nothing.
func TestLateOrdersOfAnEarlierEra(t *testing.T) {
	current, _ := follower()
	current.ApplyStored(given(t, 2, 20, map[string]uint64{"a": 20}))
	current.ApplyReceived(given(t, 1, 90, nil))
	current.ApplyStored(given(t, 1, 95, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
}
