package orders_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
)

// set returns a set at a revision; its zones are evacuated by orders of revision given.
func set(revision, given uint64, zones ...string) *orders.Set {
	message := &lapisv1.Orders{Revision: revision}
	for _, zone := range zones {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: given})
	}
	return orders.NewSet(message)
}

func TestNewestOrdersOfOthersWin(t *testing.T) {
	current := &orders.Current{}
	before, taken := current.ApplyReceived(set(5, 4, "b", "a"))
	assert.Assert(t, taken && before == nil)
	for _, older := range []*orders.Set{set(5, 4), set(4, 4)} {
		_, taken = current.ApplyReceived(older)
		assert.Assert(t, !taken)
	}
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	_, taken = current.ApplyReceived(set(6, 4, "b"))
	assert.Assert(t, taken && !current.Evacuated("a") && current.Evacuated("b"))
}

// Orders that the store repeats at a later revision must not be spread again. An order that was
// given again between two reads must be reported once.
func TestSameOrdersKeepTheirRevision(t *testing.T) {
	current := &orders.Current{}
	_, taken := current.ApplyStored(set(5, 4, "a"))
	assert.Assert(t, taken)
	before, taken := current.ApplyStored(set(9, 8, "a"))
	assert.Assert(t, !taken)
	assert.Equal(t, current.Load().Revision(), uint64(5))
	assert.DeepEqual(t, current.Load().ReissuedZones(before), []string{"a"})
	before, _ = current.ApplyStored(set(11, 8, "a"))
	assert.Equal(t, len(current.Load().ReissuedZones(before)), 0)
	_, taken = current.ApplyStored(set(8, 0))
	assert.Assert(t, !taken && current.Evacuated("a"), "an answer that was overtaken")
}

// Guards against the return of a withdrawn order: one daemon saw an order that was withdrawn before
// another daemon read the store. The second one must not follow the order received from the first.
func TestOrderTakenAwayDoesNotComeBack(t *testing.T) {
	first, second := &orders.Current{}, &orders.Current{}
	first.ApplyStored(set(5, 0))
	second.ApplyStored(set(5, 0))
	first.ApplyStored(set(7, 7, "a"))
	second.ApplyStored(set(8, 0))
	assert.Equal(t, second.Load().Revision(), uint64(5))

	_, taken := second.ApplyReceived(first.Load())
	assert.Assert(t, taken, "the current orders must get the revision that was read")
	assert.Assert(t, !second.Evacuated("a"))
	_, taken = first.ApplyReceived(second.Load())
	assert.Assert(t, taken && !first.Evacuated("a"))
	assert.Equal(t, first.Load().Revision(), second.Load().Revision())
}
