package orders_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// testClock is a settable clock.
type testClock struct{ now time.Time }

func (c *testClock) read() time.Time { return c.now }

// newCurrent returns an empty Current with its own clock.
func newCurrent() (*orders.Current, *testClock) {
	fakeClock := &testClock{time.Unix(1000, 0)}
	return &orders.Current{Now: fakeClock.read}, fakeClock
}

// setAt returns a set at a position in the store's history; evacuations maps zones to the revisions
// of their orders.
func setAt(t *testing.T, era, revision uint64, evacuations map[string]uint64) *orders.Set {
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
	current, fakeClock := newCurrent()
	current.ApplyStored(setAt(t, 1, 50, map[string]uint64{"a": 50}))
	fakeClock.now = fakeClock.now.Add(time.Minute)
	current.ApplyStored(setAt(t, 2, 20, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	current.ApplyStored(setAt(t, 2, 21, map[string]uint64{"b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	current.ApplyStored(setAt(t, 2, 22, map[string]uint64{"a": 22, "b": 21}))
	fakeClock.now = fakeClock.now.Add(time.Minute)
	current.ApplyStored(setAt(t, 2, 22, map[string]uint64{"a": 22, "b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	current.ApplyStored(setAt(t, 2, 23, map[string]uint64{"b": 21}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"b"})
}

func TestOrderThatNobodyWritesAgainEnds(t *testing.T) {
	current, fakeClock := newCurrent()
	current.ApplyStored(setAt(t, 1, 50, map[string]uint64{"a": 50}))
	current.ApplyStored(setAt(t, 2, 20, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	fakeClock.now = fakeClock.now.Add(time.Minute)
	// The store is unchanged, so its revision is the same as before.
	_, changed := current.ApplyStored(setAt(t, 2, 20, nil))
	assert.Assert(t, changed)
	assert.DeepEqual(t, current.Load().Zones(), []string{})
}

func TestOrderThatWasTakenBackDoesNotComeBackWithTheCopy(t *testing.T) {
	current, fakeClock := newCurrent()
	current.ApplyStored(setAt(t, 1, 40, map[string]uint64{"a": 40}))
	current.ApplyStored(setAt(t, 1, 50, nil))
	current.ApplyStored(setAt(t, 2, 45, map[string]uint64{"a": 40}))
	assert.DeepEqual(t, current.Load().Zones(), []string{})
	// A new order for the same zone must be followed immediately.
	current.ApplyStored(setAt(t, 2, 46, map[string]uint64{"a": 46}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
	fakeClock.now = fakeClock.now.Add(time.Minute)
	current.ApplyStored(setAt(t, 2, 47, map[string]uint64{"a": 46}))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
}

// A daemon that starts during the settling period knows no earlier orders and spreads those of the
// store. Daemons that carry orders must keep them, and spread them to each other.
func TestOrdersAreCarriedPastWhatOthersTell(t *testing.T) {
	reader, fakeClock := newCurrent()
	other, _ := newCurrent()
	lost := setAt(t, 1, 50, map[string]uint64{"a": 50})
	reader.ApplyStored(lost)
	other.ApplyReceived(lost)
	reader.ApplyStored(setAt(t, 2, 20, nil))
	other.ApplyReceived(reader.Load())
	assert.DeepEqual(t, other.Load().Zones(), []string{"a"})
	other.ApplyReceived(setAt(t, 2, 30, nil))
	assert.DeepEqual(t, other.Load().Zones(), []string{"a"})
	fakeClock.now = fakeClock.now.Add(time.Minute)
	reader.ApplyStored(setAt(t, 2, 30, nil))
	assert.DeepEqual(t, reader.Load().Zones(), []string{})
	assert.Assert(t, reader.Load().Revision() > other.Load().Revision(), "the other one asks for the newer orders")
}

// A set of an earlier era must not change the orders.
func TestLateOrdersOfAnEarlierEra(t *testing.T) {
	current, _ := newCurrent()
	current.ApplyStored(setAt(t, 2, 20, map[string]uint64{"a": 20}))
	current.ApplyReceived(setAt(t, 1, 90, nil))
	current.ApplyStored(setAt(t, 1, 95, nil))
	assert.DeepEqual(t, current.Load().Zones(), []string{"a"})
}
