package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// attemptsWhenFull is the number of attempts at a call while all instances refuse it for load.
	attemptsWhenFull = 3
	// minLaterWait is the maximum time that a call waits at each further instance once its total wait is
	// used up.
	minLaterWait = 5 * time.Millisecond
)

// scriptedRemote answers the attempts in the order of script, each with a status or an error. The last
// step is repeated.
type scriptedRemote struct {
	script []any
	calls  int
}

// Handle implements Remote.
func (s *scriptedRemote) Handle(_ context.Context, _ string, call *callapi.Call) (*callapi.Answer, error) {
	step := s.script[min(s.calls, len(s.script)-1)]
	s.calls++
	if err, failed := step.(error); failed {
		return nil, err
	}
	body := fmt.Sprintf("attempt %d", s.calls)
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: uint32(step.(int)), ContentLength: int64(len(body))},
		Body: io.NopCloser(bytes.NewBufferString(body)),
	}, nil
}

// newAttempter returns an attempter for a route to a pool with three instances.
func newAttempter(t testing.TB, remote Remote, repeatable bool, retries retry.Limits) *attempter {
	t.Helper()
	route := &lapisv1.Route{
		Name: "r", Group: meshconfig.DefaultGroup, Pool: "desk", Host: "h", PathPrefix: "/",
		CallClass: &lapisv1.CallClass{Repeatable: repeatable, MaxAttempts: 3, TargetLatencyMillis: 200},
	}
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: 1,
		Pools:    []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
		Routes:   []*lapisv1.Route{route},
	}, nil)
	assert.NilError(t, err)
	snapshots := &snapshot.Store{}
	assert.NilError(t, snapshots.ReplaceConfiguration(configuration))
	balancer := balance.New("here", "a", "", time.Now)
	var endpoints []*lapisv1.Endpoint
	for index := range 3 {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: fmt.Sprint("desk-", index), Node: fmt.Sprint("node-", index),
			Address: fmt.Sprint("10.0.0.", index, ":1"), Zone: "a", Slots: 6, State: lapisv1.Endpoint_STATE_READY,
		})
	}
	balancer.Update("desk", endpoints)
	gateway := New(Config{Node: "here", Snapshots: snapshots, Balancer: balancer, Remote: remote, Retries: retries})
	return &attempter{gateway: gateway, call: call{
		current: snapshots.Current(), route: route, body: &requestBody{}, startedAt: time.Now(),
		opening: &lapisv1.CallOpen{Repeatable: repeatable}, attach: func(*callapi.Call) func() { return func() {} },
	}}
}

// The failed answer of an instance is replaced by the answer of another one if that is safe and within the
// retry budget; otherwise the caller gets the answer of the first instance.
func TestFailedAnswersAreReplaced(t *testing.T) {
	plenty := retry.Limits{Fraction: 1, Burst: 10}
	refused := result.Errorf(result.CallNotRunExpired, "too late")
	for name, row := range map[string]struct {
		script        []any
		notRepeatable bool
		retries       retry.Limits
		allFail       bool
		status        uint32
		body          string
		attempts      int
	}{
		"another one does better":      {script: []any{500, 200}, retries: plenty, status: 200, body: "attempt 2", attempts: 2},
		"another one fails too":        {script: []any{500, 502, 200}, retries: plenty, status: 502, body: "attempt 2", attempts: 2},
		"another one does not answer":  {script: []any{500, refused}, retries: plenty, status: 500, body: "attempt 1", attempts: 2},
		"it may not be repeated":       {script: []any{500, 200}, notRepeatable: true, retries: plenty, status: 500, body: "attempt 1", attempts: 1},
		"the budget is spent":          {script: []any{500, 200}, retries: retry.Limits{Fraction: 0.1, Burst: 1}, status: 500, body: "attempt 1", attempts: 1},
		"all instances fail":           {script: []any{500, 200}, retries: plenty, allFail: true, status: 500, body: "attempt 1", attempts: 1},
		"a refusal of the application": {script: []any{404, 200}, retries: plenty, status: 404, body: "attempt 1", attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &scriptedRemote{script: row.script}
			attempt := newAttempter(t, remote, !row.notRepeatable, row.retries)
			if row.allFail {
				for _, target := range attempt.gateway.config.Balancer.Targets("desk") {
					for range 5 {
						target.RecordErrorAnswer(time.Now())
					}
				}
			}
			done, err := attempt.run(context.Background())
			assert.NilError(t, err)
			body, err := readWhole(done.answer)
			assert.NilError(t, err)
			assert.Equal(t, done.answer.Head.GetStatus(), row.status)
			assert.Equal(t, string(body), row.body)
			assert.Equal(t, remote.calls, row.attempts)
		})
	}
}

// Over all its attempts, a call waits for slots no longer than its target latency and deadline allow, and
// is then refused. Longer waits would fill the slots with calls whose answers are hardly useful any more.
func TestWaitsAreBoundedByTargetAndDeadline(t *testing.T) {
	for name, row := range map[string]struct {
		deadline, maxWait time.Duration
	}{
		"the deadline is near": {200 * time.Millisecond, 90 * time.Millisecond},
		"the deadline is far":  {5 * time.Second, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				overloaded := result.Errorf(result.CallNotRunOverloaded, "full")
				remote := &recordingRemote{err: overloaded, waits: true}
				attempt := newAttempter(t, remote, false, retry.Limits{Fraction: 1, Burst: 10})
				ctx, cancel := context.WithDeadline(t.Context(), attempt.startedAt.Add(row.deadline))
				defer cancel()
				_, err := attempt.run(ctx)
				assert.Assert(t, result.Is(err, result.CallNotRunOverloaded))
				assert.Equal(t, len(remote.opened), attemptsWhenFull)
				waited := time.Since(attempt.startedAt)
				assert.Assert(t, waited <= row.maxWait+(attemptsWhenFull-1)*minLaterWait, "%s", waited)
			})
		})
	}
}

// recordingRemote refuses all calls and keeps their openings.
type recordingRemote struct {
	err    error
	opened []*lapisv1.CallOpen
	// waits makes each call wait for the maximum time that its opening allows.
	waits bool
}

// Handle implements Remote.
func (r *recordingRemote) Handle(_ context.Context, _ string, call *callapi.Call) (*callapi.Answer, error) {
	r.opened = append(r.opened, call.Open)
	if r.waits {
		time.Sleep(time.Duration(call.Open.GetMaxWaitMillis()) * time.Millisecond)
	}
	return nil, r.err
}

// A call that an instance may have run must not be answered as not run, whatever the results of its later
// attempts. This guards against a 503 answer while an instance still ran the call: its daemon had stopped
// sending, and the other instances were full.
func TestNotRunIsSaidOnlyWhenItIsTrue(t *testing.T) {
	silent := result.Errorf(result.CallUnknownOutcome, "the daemon beside the instance does not answer")
	full := result.Errorf(result.CallNotRunOverloaded, "no slot is free")
	plenty := retry.Limits{Fraction: 1, Burst: 10}
	for name, row := range map[string]struct {
		script []any
		notRun bool
	}{
		"all full":               {[]any{full}, true},
		"silent, then full":      {[]any{silent, full}, false},
		"full, silent, full":     {[]any{full, silent, full}, false},
		"silent for all of them": {[]any{silent}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newAttempter(t, &scriptedRemote{script: row.script}, true, plenty).run(t.Context())
			assert.Equal(t, callapi.OutcomeOf(err) == callapi.OutcomeNotRun, row.notRun, "%v", err)
		})
	}
}

// A refusal because of a slow start is retried elsewhere within the same bound as a refusal for load, and
// the instance gets no calls for the time that it stated.
func TestColdRefusalsAreTriedElsewhere(t *testing.T) {
	cold := result.Errorf(result.CallNotRunCold, "cold")
	cold.RetryAfter = time.Hour
	for name, row := range map[string]struct {
		script   []any
		status   uint32
		attempts int
	}{
		"another one answers": {[]any{cold, cold, 200}, 200, 3},
		"all are cold":        {[]any{cold}, 0, attemptsWhenFull},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &scriptedRemote{script: row.script}
			attempt := newAttempter(t, remote, false, retry.Limits{Fraction: 1, Burst: 10})
			done, err := attempt.run(t.Context())
			assert.Equal(t, remote.calls, row.attempts)
			for _, target := range attempt.tried {
				assert.Assert(t, target.ColdRejectionRemaining(time.Now()) > 59*time.Minute)
			}
			if row.status == 0 {
				assert.Assert(t, result.Is(err, result.CallNotRunCold), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, done.answer.Head.GetStatus(), row.status)
		})
	}
}

// A call with too little time left for an answer is refused as not run, before it is sent to an instance.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	for name, row := range map[string]struct {
		left   time.Duration
		handed int
	}{
		"less than half of the usual time": {150 * time.Millisecond, 0},
		"more than half of it":             {250 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &recordingRemote{err: result.Errorf(result.CallNotRunExpired, "too late")}
			attempt := newAttempter(t, remote, true, retry.Limits{Fraction: 1, Burst: 10})
			for _, target := range attempt.gateway.config.Balancer.Targets("desk") {
				target.RecordAnswer("r", 400*time.Millisecond, time.Now())
			}
			ctx, cancel := context.WithTimeout(t.Context(), row.left)
			defer cancel()
			_, err := attempt.run(ctx)
			assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
			assert.Equal(t, len(remote.opened), row.handed)
			if row.handed > 0 {
				starts := time.Duration(remote.opened[0].GetExpiresAfterMillis()) * time.Millisecond
				assert.Assert(t, starts <= row.left-200*time.Millisecond, "may start until %s", starts)
			}
		})
	}
}

// Slow instances are tried again after some time. If their service time were remembered without decay,
// the calls of the route would be refused forever.
func TestHopelessRouteIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &recordingRemote{err: result.Errorf(result.CallNotRunExpired, "too late")}
		attempt := newAttempter(t, remote, true, retry.Limits{Fraction: 1, Burst: 10})
		for _, target := range attempt.gateway.config.Balancer.Targets("desk") {
			target.RecordAnswer("r", 10*time.Second, time.Now())
		}
		call := func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := attempt.run(ctx)
			assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
		}
		call()
		assert.Equal(t, len(remote.opened), 0)
		time.Sleep(15 * time.Second)
		call()
		assert.Equal(t, len(remote.opened), 1)
	})
}
