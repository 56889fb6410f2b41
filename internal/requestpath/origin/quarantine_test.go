package origin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A quarantined request is not sent to the instance, and a response clears a suspicion.
func TestQuarantineBesideTheInstance(t *testing.T) {
	_, origin, crashes := newOriginWithCrashingBackend(t)
	line := fingerprint.RequestLine{Method: http.MethodGet, Host: "a.example", Target: "/answer"}
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, nil).Whole(), Caller: "shop"}}
	crashes.Crashed("other", 1, inFlight)
	crashes.Crashed("other", 2, inFlight)
	assert.NilError(t, sendCall(origin, "/answer"))
	assert.Assert(t, !crashes.Suspected(line))
	for end := range uint64(3) {
		crashes.Crashed("other", 3+end, inFlight)
	}
	err := sendCall(origin, "/answer")
	assert.Assert(t, result.Is(err, result.CallNotRunQuarantined))
	assert.Equal(t, callapi.OutcomeOf(err), callapi.OutcomeNotRun)
}

// A short body that another daemon sends in pieces is checked at the instance's daemon too.
func TestShortBodiesAreCheckedBesideTheInstance(t *testing.T) {
	_, origin, crashes := newOriginWithCrashingBackend(t)
	line := fingerprint.RequestLine{Method: http.MethodPost, Host: "a.example", Target: "/answer"}
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, []byte("deadly")).Whole(), Caller: "shop"}}
	for end := range uint64(3) {
		crashes.Crashed("other", end, inFlight)
	}
	for body, code := range map[string]result.Code{"deadly": result.CallNotRunQuarantined, "harmless": result.OK} {
		answer, err := origin.Handle(context.Background(), &callapi.Call{Body: strings.NewReader(body), Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", Method: line.Method, Target: line.Target, Host: line.Host, ContentLength: int64(len(body)),
			AttemptId: body, CallerService: "shop",
		}})
		if err == nil {
			_ = answer.Body.Close()
		}
		got, _ := result.CodeOf(err)
		assert.Equal(t, got, code, body)
	}
}

// A response that comes before the whole body was sent clears no suspicion.
func TestEarlyAnswerRefutesNothing(t *testing.T) {
	_, origin, crashes := newOriginWithCrashingBackend(t)
	line := fingerprint.RequestLine{Method: http.MethodPost, Host: "a.example", Target: "/early"}
	key := fingerprint.PartialOf(line, maxShortBodyBytes+1)
	crashes.Crashed("other", 1, []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: []fingerprint.Key{key}, Caller: "shop"}})
	reader, writer := io.Pipe()
	answer, err := origin.Handle(context.Background(), &callapi.Call{Body: reader, Open: &lapisv1.CallOpen{
		Service: "desk", Instance: "desk-1", Method: line.Method, Target: line.Target, Host: line.Host, ContentLength: maxShortBodyBytes + 1,
		AttemptId: "early", CallerService: "shop",
	}})
	assert.NilError(t, err)
	_ = writer.Close()
	_ = answer.Body.Close()
	assert.Equal(t, crashes.Count([]fingerprint.Key{key}), 1)
}

// A trial of a quarantined request is sent to the instance, and its response clears the suspicion.
func TestTrialReachesTheInstance(t *testing.T) {
	_, origin, crashes := newOriginWithCrashingBackend(t)
	line := fingerprint.RequestLine{Method: http.MethodGet, Host: "a.example", Target: "/answer"}
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, nil).Whole(), Caller: "shop"}}
	for end := range uint64(3) {
		crashes.Crashed("other", end, inFlight)
	}
	assert.Assert(t, result.Is(sendCall(origin, "/answer"), result.CallNotRunQuarantined))
	answer, err := origin.Handle(context.Background(), &callapi.Call{Open: &lapisv1.CallOpen{
		Service: "desk", Instance: "desk-1", Method: line.Method, Target: line.Target, Host: line.Host,
		AttemptId: "trial", CallerService: "shop", Trial: true,
	}})
	assert.NilError(t, err)
	_ = answer.Body.Close()
	assert.NilError(t, sendCall(origin, "/answer"))
}
