package origin

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
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

// panickingBody is a body that panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("on purpose") }
