package tree

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/revisionfloor"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// slowRegister is an object API whose accept register takes a second to read and is empty.
type slowRegister struct{ objectapi.Store }

func (slowRegister) Get(context.Context, string) (objectapi.Object, error) {
	time.Sleep(time.Second)
	return objectapi.Object{}, result.Errorf(result.PlatformNotFound, "no such object")
}

// A reader that loses its seat while it reads the accept register gives the read up. Its
// answer may be older than what came in force before a later request, so it answers none.
func TestReadThatWasGivenUpAnswersNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := &Node{config: Config{Store: slowRegister{}}, reader: true, path: []string{"n"}, floors: &revisionfloor.Broker{}}
		answers := 0
		ask := func() { node.floors.Ask(func(*lapisv1.FloorReply) { answers++ }) }
		locked := func(step func()) {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			step()
		}
		locked(func() { ask(); node.startFloorRead() })
		time.Sleep(floorSpacing + time.Millisecond)
		locked(func() { ask(); node.abortFloorRead() })
		time.Sleep(time.Minute)
		locked(func() { assert.Equal(t, answers, 0, "the node reads no more and has no parent yet") })
		locked(node.startFloorRead)
		time.Sleep(time.Minute)
		locked(func() { assert.Equal(t, answers, 2) })
	})
}
