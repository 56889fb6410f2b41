package origin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The work percentage that an instance reports is returned with its response, and with later
// refusals.
func TestReportedWorkIsReturnedWithResponsesAndRefusals(t *testing.T) {
	stating := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/states" {
			writer.Header().Set("Load", "250")
		}
	}))
	defer stating.Close()
	envelope := callapi.DefaultEnvelope
	envelope.Load = &callapi.LoadField{Name: "Load", WorkPercent: func(value string) uint32 {
		percent, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return 0
		}
		return uint32(percent)
	}}
	origin := New(Config{
		Backends:    []BackendConfig{{Service: "desk", Instance: "desk-1", Address: stating.Listener.Addr().String()}},
		QueueLength: 1, QueueTime: time.Second, Envelope: envelope,
	})
	call := func(attempt, target string) (*callapi.Answer, error) {
		return origin.Handle(context.Background(), &callapi.Call{Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", Method: http.MethodGet, Target: target, Host: "a.example", AttemptId: attempt,
		}})
	}
	for number, row := range []struct {
		target string
		want   uint32
	}{{"/silent", 0}, {"/states", 250}, {"/silent", 0}} {
		answer, err := call(strconv.Itoa(number), row.target)
		assert.NilError(t, err)
		assert.Equal(t, answer.Head.GetWorkPercent(), row.want)
		assert.NilError(t, answer.Body.Close())
	}
	origin.Stop()
	_, err := call("refused", "/states")
	refused, ok := err.(*result.Error)
	assert.Assert(t, ok && refused.Code.NotRun(), "%v", err)
	assert.Equal(t, refused.WorkPercent, uint32(250))
	assert.Assert(t, refused.WorkAge > 0)
}
