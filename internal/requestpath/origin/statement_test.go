package origin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func limitOf(perSecond float64) callapi.RateLimit {
	return callapi.RateLimit{PerSecond: perSecond, Stated: true}
}

// Guards against answers of concurrent requests that take back a limit which was stated after they were
// written, and against limits of callers that outlast the instance's own word.
func TestWhichStatedLimitHolds(t *testing.T) {
	none := callapi.RateLimit{}
	start := time.Unix(1000, 0)
	for name, row := range map[string]struct {
		apply func(l *statedLimit, at func(seconds float64) time.Time)
		want  callapi.RateLimit
	}{
		"stated": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), true)
		}, limitOf(6.4)},
		"changed": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), true)
			l.record(limitOf(3), at(0), at(2), true)
		}, limitOf(3)},
		"ended": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), true)
			l.record(none, at(2), at(3), true)
		}, none},
		"an answer to an earlier request": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), true)
			l.record(none, at(0.5), at(3), true)
		}, limitOf(6.4)},
		"a refusal": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), true)
			l.record(none, at(2), at(3), false)
		}, limitOf(6.4)},
		"stated by a refusal": {func(l *statedLimit, at func(float64) time.Time) {
			l.record(limitOf(6.4), at(0), at(1), false)
		}, limitOf(6.4)},
		"known to callers, the lowest": {func(l *statedLimit, at func(float64) time.Time) {
			l.adopt(limitOf(6.4), at(0))
			l.adopt(limitOf(3), at(1))
			l.adopt(limitOf(5), at(2))
		}, limitOf(3)},
		"the instance corrects callers": {func(l *statedLimit, at func(float64) time.Time) {
			l.adopt(limitOf(3), at(0))
			l.record(limitOf(6.4), at(1), at(2), true)
			l.adopt(limitOf(3), at(3))
		}, limitOf(6.4)},
		"callers know an old limit": {func(l *statedLimit, at func(float64) time.Time) {
			l.adopt(limitOf(3), at(0))
			l.record(none, at(1), at(2), true)
			l.adopt(limitOf(3), at(3))
		}, none},
	} {
		t.Run(name, func(t *testing.T) {
			limit := newStatedLimit()
			row.apply(&limit, func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) })
			assert.Equal(t, limit.current, row.want)
		})
	}
}

// statingBackend is a back end that states something about itself in its answers.
type statingBackend struct {
	*httptest.Server
	// limit and leaving are the values of its header fields; empty for none. status is the status of its
	// answers.
	limit, leaving atomic.Value
	status         atomic.Int64
}

// Header fields of the test's back end.
const (
	testLimitField   = "Test-Limit"
	testLeavingField = "Test-Leaving"
	testNotRunField  = "Test-Not-Run"
)

func newStatingBackend(t *testing.T) *statingBackend {
	t.Helper()
	made := &statingBackend{}
	made.limit.Store("")
	made.leaving.Store("")
	made.status.Store(http.StatusOK)
	made.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for name, value := range map[string]string{testLimitField: made.limit.Load().(string), testLeavingField: made.leaving.Load().(string)} {
			if value != "" {
				writer.Header().Set(name, value)
			}
		}
		writer.WriteHeader(int(made.status.Load()))
	}))
	t.Cleanup(made.Close)
	return made
}

// newStatingOrigin returns an origin with the back end as its instance, as a daemon that has just started.
func newStatingOrigin(backend *statingBackend) *Origin {
	envelope := callapi.Envelope{NotRun: testNotRunField, ExpectedInstance: "Test-Expected", Deadline: "Test-Deadline"}
	envelope.Statements = &callapi.StatementReader{Read: func(header http.Header) callapi.Statement {
		stated := callapi.Statement{Leaving: header.Get(testLeavingField) != ""}
		if perSecond, err := strconv.ParseFloat(header.Get(testLimitField), 64); err == nil {
			stated.Limit = limitOf(perSecond)
		}
		return stated
	}}
	return New(Config{
		QueueLength: 64, QueueTime: time.Second, Envelope: envelope,
		Backends: []BackendConfig{{Service: "desk", Instance: "desk-1", Address: strings.TrimPrefix(backend.URL, "http://")}},
	})
}

var lastStatingAttempt atomic.Uint64

// call sends a call, with the limit that its caller knows (nil for none), and returns the head of the
// answer.
func (o *Origin) call(t *testing.T, known *float64) (*lapisv1.CallHead, error) {
	t.Helper()
	answer, err := o.Handle(context.Background(), &callapi.Call{Open: &lapisv1.CallOpen{
		Service: "desk", Instance: "desk-1", Method: http.MethodGet, Target: "/", Host: "a.example",
		AttemptId: fmt.Sprint(lastStatingAttempt.Add(1)), StatedLimit: known,
	}})
	if err != nil {
		return nil, err
	}
	assert.NilError(t, answer.Body.Close())
	return answer.Head, nil
}

// Guards against calls beyond the rate that an instance states, at a daemon that knows it from an answer
// and at one that has just started and knows it from a caller.
func TestInstanceGetsNoMoreCallsThanItStates(t *testing.T) {
	backend := newStatingBackend(t)
	backend.limit.Store("0.01")
	stated := 0.01
	beside := newStatingOrigin(backend)
	head, err := beside.call(t, nil)
	assert.NilError(t, err)
	assert.Equal(t, head.GetStatedLimit(), stated)
	_, err = beside.call(t, nil)
	assert.Assert(t, result.Is(err, result.CallNotRunLimited), "%v", err)

	restarted := newStatingOrigin(backend)
	_, err = restarted.call(t, &stated)
	assert.Assert(t, result.Is(err, result.CallNotRunLimited), "%v", err)
	_, err = restarted.call(t, nil)
	assert.Assert(t, result.Is(err, result.CallNotRunLimited), "%v", err)
}

// The header of an answer with status 421 is that of another instance, which has taken over the address.
func TestStatementOfTheSuccessorAtAnAddressIsIgnored(t *testing.T) {
	backend := newStatingBackend(t)
	backend.limit.Store("3")
	backend.status.Store(http.StatusMisdirectedRequest)
	origin := newStatingOrigin(backend)
	_, err := origin.call(t, nil)
	assert.Assert(t, result.Is(err, result.CallNotRunUnknownHere), "%v", err)
	assert.Equal(t, origin.Instances()[0].LimitUse().PerSecond, 0.0)
}

// Status 421 shows that the instance that seemed to have taken the address is not there.
func TestInstanceIsServedAgainOnceItsSuccessorIsNotFound(t *testing.T) {
	backend := newStatingBackend(t)
	backend.status.Store(http.StatusMisdirectedRequest)
	origin := New(Config{QueueLength: 64, QueueTime: time.Second, Envelope: newStatingOrigin(backend).config.Envelope})
	register := func(instance string, sequence uint64) {
		origin.Register(Registration{Service: "desk", Instance: instance, Address: strings.TrimPrefix(backend.URL, "http://"), Slots: 2, Sequence: sequence})
	}
	register("present", 7)
	register("desk-1", 1)
	present, _ := origin.instance("desk", "present")
	assert.Assert(t, present.State() != StateReady)
	_, err := origin.call(t, nil)
	assert.Assert(t, result.Is(err, result.CallNotRunUnknownHere), "%v", err)
	assert.Equal(t, present.State(), StateReady)
}

// Guards against calls to an instance that has stated in an answer that it leaves.
func TestInstanceThatStatesThatItLeavesGetsNoCalls(t *testing.T) {
	backend := newStatingBackend(t)
	backend.leaving.Store("1")
	origin := newStatingOrigin(backend)
	head, err := origin.call(t, nil)
	assert.NilError(t, err)
	assert.Assert(t, head.GetLeaving())
	_, err = origin.call(t, nil)
	assert.Assert(t, result.Is(err, result.CallNotRunDraining), "%v", err)
	assert.DeepEqual(t, origin.Withdrawn(), []string{"desk-1"})
}
