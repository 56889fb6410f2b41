package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/position"
)

// placeIn returns a position in the history of a store's era.
func placeIn(t *testing.T, era, revision uint64) uint64 {
	t.Helper()
	at, err := position.In(era, revision)
	assert.NilError(t, err)
	return uint64(at)
}

// endedIn returns a controller that has observed an order's end in the first era of the store.
func endedIn(t *testing.T, end End) (controller *Controller, order Order, view View) {
	t.Helper()
	now := time.Unix(1000, 0)
	order = Order{
		Service: "desk", Identity: Identity{Created: 5, Target: "v2", Duration: time.Minute},
		Revision: placeIn(t, 1, 9), Status: Status{End: end, Target: "v2"},
	}
	view = View{Now: now, Members: []string{"a"}, Known: 1, InstancesKnown: true, New: []string{"i"}, Warm: []string{"i"}}
	controller = NewController("a", 1, order, now)
	controller.Tick(view)
	assert.Assert(t, controller.Ended())
	return controller, order, view
}

// A store restored from a backup may have lost the end of an order. The daemons must write it again
// and move no calls back.
func TestEndLostByAReturnIsWrittenAgain(t *testing.T) {
	for _, end := range []End{EndCompleted, EndRolledBack} {
		controller, order, view := endedIn(t, end)
		state := controller.State()
		returned := order
		returned.Revision, returned.Status = placeIn(t, 2, 7), Status{End: EndRunning, Target: "v2"}
		assert.Equal(t, controller.Observe(&returned), ClassificationSame)
		decision := controller.Tick(view)
		assert.Equal(t, controller.State(), state)
		assert.Assert(t, decision.Write != nil, "%s is not written again", end)
		assert.Equal(t, decision.Write.Status.End, end)
		assert.Equal(t, decision.Write.Revision, returned.Revision)
	}
}

// A state from an earlier era of the store must be read as old at any revision.
func TestOrdersOfAnEarlierEraAreOld(t *testing.T) {
	controller, order, _ := endedIn(t, EndCompleted)
	returned := order
	returned.Revision = placeIn(t, 2, 3)
	assert.Equal(t, controller.Observe(&returned), ClassificationSame)
	late := order
	late.Revision = placeIn(t, 1, 90)
	assert.Equal(t, controller.Observe(&late), ClassificationOld)
}

// An order that changed after its end in the same era was given again; in another era, a later
// revision does not show that.
func TestReturnGivesNoOrderAgain(t *testing.T) {
	_, order, _ := endedIn(t, EndCompleted)
	for era, classification := range map[uint64]Classification{1: ClassificationNew, 2: ClassificationSame} {
		later := order
		later.Revision = placeIn(t, era, 12)
		assert.Equal(t, Classify(&order, later), classification, "era %d", era)
	}
}
