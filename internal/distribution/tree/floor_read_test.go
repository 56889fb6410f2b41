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

// slowRegister is an object API with an empty accept register that takes one second to read.
type slowRegister struct{ objectapi.Store }

func (slowRegister) Get(context.Context, string) (objectapi.Object, error) {
	time.Sleep(time.Second)
	return objectapi.Object{}, result.Errorf(result.PlatformNotFound, "no such object")
}

// A reader that loses its seat while it reads the accept register aborts the read. The result may
// be older than a version that came in force before a later request, so it must not answer any
// request.
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
		time.Sleep(floorBatchDelay + time.Millisecond)
		locked(func() { ask(); node.abortFloorRead() })
		time.Sleep(time.Minute)
		locked(func() { assert.Equal(t, answers, 0, "the read was aborted and the node has no parent yet") })
		locked(node.startFloorRead)
		time.Sleep(time.Minute)
		locked(func() { assert.Equal(t, answers, 2) })
	})
}
