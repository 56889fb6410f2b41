package orders_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/orders"
)

// set returns orders at a revision that evacuate zones since given.
func set(revision, given uint64, zones ...string) *orders.Set {
	message := &lapisv1.Orders{Revision: revision}
	for _, zone := range zones {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: given})
	}
	return orders.NewSet(message)
}

func TestNewestOrdersOfOthersWin(t *testing.T) {
	current := &orders.Current{}
	before, taken := current.Replace(set(5, 4, "b", "a"))
	assert.Assert(t, taken && before == nil)
	for _, older := range []*orders.Set{set(5, 4), set(4, 4)} {
		_, taken = current.Replace(older)
		assert.Assert(t, !taken)
	}
	assert.DeepEqual(t, current.Load().Zones(), []string{"a", "b"})
	_, taken = current.Replace(set(6, 4, "b"))
	assert.Assert(t, taken && !current.Evacuated("a") && current.Evacuated("b"))
}

// What the store says anew is not spread anew; that an order was given again between
// two readings is seen once.
func TestSameOrdersKeepTheirRevision(t *testing.T) {
	current := &orders.Current{}
	_, taken := current.Read(set(5, 4, "a"))
	assert.Assert(t, taken)
	before, taken := current.Read(set(9, 8, "a"))
	assert.Assert(t, !taken)
	assert.Equal(t, current.Load().Revision(), uint64(5))
	assert.DeepEqual(t, current.Load().GivenAgain(before), []string{"a"})
	before, _ = current.Read(set(11, 8, "a"))
	assert.Equal(t, len(current.Load().GivenAgain(before)), 0)
	_, taken = current.Read(set(8, 0))
	assert.Assert(t, !taken && current.Evacuated("a"), "an answer that was overtaken")
}

// One daemon saw an order that was taken away before another one read the store, which
// knew neither: the older order must not come back through the first.
func TestOrderTakenAwayDoesNotComeBack(t *testing.T) {
	first, second := &orders.Current{}, &orders.Current{}
	first.Read(set(5, 0))
	second.Read(set(5, 0))
	first.Read(set(7, 7, "a"))
	second.Read(set(8, 0))
	assert.Equal(t, second.Load().Revision(), uint64(5))

	_, taken := second.Replace(first.Load())
	assert.Assert(t, taken, "it must be stated anew")
	assert.Assert(t, !second.Evacuated("a"))
	_, taken = first.Replace(second.Load())
	assert.Assert(t, taken && !first.Evacuated("a"))
	assert.Equal(t, first.Load().Revision(), second.Load().Revision())
}

// rolling returns orders at a revision with a roll-out whose object was written at
// another one.
func rolling(revision, written uint64, state string) *orders.Set {
	return orders.NewSet(&lapisv1.Orders{Revision: revision, Rollouts: []*lapisv1.Rollout{{Name: "desk", Revision: written, State: state}}})
}

// A status that was written is news, and so is a roll-out given again or taken away;
// one that is read again unchanged is not, and is not lost.
func TestRolloutsSpreadWhenTheirObjectChanges(t *testing.T) {
	current := &orders.Current{}
	for _, step := range []struct {
		set  *orders.Set
		news bool
	}{
		{rolling(5, 4, ""), true}, {rolling(7, 4, ""), false}, {rolling(8, 8, "running"), true}, {rolling(9, 9, "running"), true}, {set(12, 0), true},
	} {
		_, taken := current.Read(step.set)
		assert.Equal(t, taken, step.news)
		assert.Equal(t, len(current.Load().Rollouts()), len(step.set.Rollouts()))
	}
	// An older roll-out of another daemon does not come back: the present state is stated anew.
	_, taken := current.Replace(rolling(11, 9, "running"))
	assert.Assert(t, !taken)
	current.Read(rolling(14, 14, ""))
	current.Read(rolling(20, 14, ""))
	_, taken = current.Replace(set(18, 0))
	assert.Assert(t, taken && current.Load().Revision() == 20 && len(current.Load().Rollouts()) == 1)
}
