package origin

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A call that causes a panic in the daemon fails alone.
func TestPanicEndsOneCall(t *testing.T) {
	_, origin, _ := newOriginWithCrashingBackend(t)
	for try := range 2 * DefaultSlots {
		_, err := origin.Handle(context.Background(), &callapi.Call{Body: panickingBody{}, Buffered: true, Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", Method: http.MethodPost, Target: "/answer", Host: "a.example", ContentLength: 5, AttemptId: fmt.Sprint(try),
		}})
		assert.Assert(t, result.Is(err, result.CallUnknownOutcome))
	}
	assert.NilError(t, sendCall(origin, "/answer"))
	assert.Equal(t, origin.InFlight(), 0)
}

// A call that panicked does not stay in flight. The failure: a later crash of the instance was
// taken for a single broken connection.
func TestCrashAfterAPanicIsNoticed(t *testing.T) {
	_, origin, crashes := newOriginWithCrashingBackend(t)
	_, err := origin.Handle(context.Background(), &callapi.Call{Body: panickingBody{}, Buffered: true, Open: &lapisv1.CallOpen{
		Service: "desk", Instance: "desk-1", Method: http.MethodPost, Target: "/answer", Host: "a.example", ContentLength: 5, AttemptId: "panics",
	}})
	assert.Assert(t, result.Is(err, result.CallUnknownOutcome))
	assert.Assert(t, result.Is(sendCall(origin, "/end"), result.CallInstanceCrashed))
	assert.Equal(t, len(crashes.recorded()), 1)
}

// Guards against a body that is written in the background and ends the daemon.
func TestPanicInABodyWrittenInTheBackgroundEndsOneCall(t *testing.T) {
	defer containment.Enable(func(string, any, []byte) {})()
	_, origin, _ := newOriginWithCrashingBackend(t)
	before := containment.Contained()
	for try := range 2 * DefaultSlots {
		answer, err := origin.Handle(context.Background(), &callapi.Call{Body: panickingBody{}, Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", Method: http.MethodPost, Target: "/answer", Host: "a.example", ContentLength: 500_000, AttemptId: fmt.Sprint(try),
		}})
		// The instance may have answered before.
		assert.Assert(t, callapi.OutcomeOf(err) != callapi.OutcomeNotRun, "%v", err)
		if err == nil {
			assert.NilError(t, answer.Body.Close())
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		return poll.Compare(cmp.Equal(containment.Contained()-before, int64(2*DefaultSlots)))
	})
	assert.NilError(t, sendCall(origin, "/answer"))
	assert.Equal(t, origin.InFlight(), 0)
}

// panickingBody is a body that panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("on purpose") }
