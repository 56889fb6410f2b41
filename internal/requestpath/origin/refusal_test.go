package origin

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A call that was waiting when the daemon began to stop starts only if its deadline is before the
// end of the daemon; otherwise its error proves that it did not run.
func TestStoppingDaemonStartsNoWaitingCallThatOutlastsIt(t *testing.T) {
	for lasts, code := range map[time.Duration]result.Code{
		10 * time.Second: result.CallNotRunStopping,
		// The call is sent, and fails because no back end listens.
		3 * time.Second: result.CallNotRunUnreachable,
	} {
		synctest.Test(t, func(t *testing.T) {
			o := newRunningOrigin(t)
			slots := fillSlots(t, requireInstance(t, o, "desk-1"))
			ended := make(chan error, 1)
			go func() {
				open := &lapisv1.CallOpen{
					Service: "desk", Instance: "desk-1", AttemptId: "waits", Target: "/", Method: "GET",
					DeadlineMillis: uint32(lasts.Milliseconds()),
				}
				_, err := o.Handle(context.Background(), &callapi.Call{Open: open})
				ended <- err
			}()
			synctest.Wait()
			o.Drain(time.Now().Add(5 * time.Second))
			time.Sleep(time.Second)
			for _, slot := range slots {
				slot.Release(false)
			}
			assertCode(t, <-ended, code)
			synctest.Wait()
			assert.Equal(t, o.InFlight(), 0)
		})
	}
}

// A call that waited while the machine was suspended is refused once its timeout has passed.
func TestCallsExpireWhileSuspended(t *testing.T) {
	open := &lapisv1.CallOpen{DeadlineMillis: 1500}
	for name, row := range map[string]struct {
		waited, suspended time.Duration
		code              result.Code
	}{
		"not suspended":      {waited: 2 * time.Second},
		"suspended a little": {100 * time.Millisecond, time.Second, result.OK},
		"suspended too long": {100 * time.Millisecond, 1400 * time.Millisecond, result.CallNotRunExpired},
	} {
		t.Run(name, func(t *testing.T) {
			code, _ := result.CodeOf(checkSuspended(open, row.waited, row.suspended))
			assert.Equal(t, code, row.code)
		})
	}
	assert.NilError(t, checkSuspended(&lapisv1.CallOpen{}, time.Second, time.Hour))
}

// A call that may continue after the end of the daemon is refused once the daemon is stopping.
func TestCheckShutdown(t *testing.T) {
	came := time.Unix(1000, 0)
	for name, row := range map[string]struct {
		lasts      time.Duration
		shutdownBy time.Time
		code       result.Code
	}{
		"not stopping":                 {time.Hour, time.Time{}, result.OK},
		"not stopping, no deadline":    {0, time.Time{}, result.OK},
		"deadline at the shutdown":     {time.Second, came.Add(time.Second), result.OK},
		"deadline after the shutdown":  {time.Second, came.Add(time.Second - 1), result.CallNotRunStopping},
		"no deadline":                  {0, came.Add(time.Hour), result.CallNotRunStopping},
		"shutdown deadline has passed": {time.Millisecond, came.Add(-time.Hour), result.CallNotRunStopping},
	} {
		t.Run(name, func(t *testing.T) {
			open := &lapisv1.CallOpen{DeadlineMillis: uint32(row.lasts.Milliseconds())}
			code, _ := result.CodeOf(checkShutdown(open, came, row.shutdownBy))
			assert.Equal(t, code, row.code)
		})
	}
}

// A response is a refusal by the instance only with the NotRun field of the envelope, and states a
// retry delay only in seconds.
func TestInstanceRefusal(t *testing.T) {
	envelope := callapi.DefaultEnvelope
	for name, row := range map[string]struct {
		status     int
		notRun     bool
		retryAfter string
		hadRoom    bool
		code       result.Code
		after      time.Duration
	}{
		"overloaded":            {http.StatusServiceUnavailable, true, "2", false, result.CallNotRunShed, 2 * time.Second},
		"too many":              {http.StatusTooManyRequests, true, "0.5", false, result.CallNotRunShed, 500 * time.Millisecond},
		"no Retry-After":        {http.StatusServiceUnavailable, true, "", false, result.CallNotRunShed, 0},
		"Retry-After is a date": {http.StatusServiceUnavailable, true, "Fri, 31 Dec 1999 23:59:59 GMT", false, result.CallNotRunShed, 0},
		"no NotRun field":       {http.StatusServiceUnavailable, false, "2", false, result.OK, 0},
		"other error status":    {http.StatusInternalServerError, true, "", false, result.OK, 0},
		"success status":        {http.StatusOK, true, "", false, result.OK, 0},
		"free slot":             {http.StatusServiceUnavailable, true, "2", true, result.CallNotRunShed, freeSlotRetryDelay},
	} {
		t.Run(name, func(t *testing.T) {
			response := &http.Response{StatusCode: row.status, Header: http.Header{}}
			if row.notRun {
				response.Header.Set(envelope.NotRun, "1")
			}
			response.Header.Set("Retry-After", row.retryAfter)
			err := instanceRefusal(response, &envelope, row.hadRoom)
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, row.code)
			var refusal *result.Error
			if errors.As(err, &refusal) {
				assert.Equal(t, refusal.RetryAfter, row.after)
			}
		})
	}
}

// Each drain reason has its result code.
func TestDrainRefusal(t *testing.T) {
	for _, reason := range drainReasonPrecedence {
		want := result.CallNotRunDraining
		switch reason {
		case DrainStop:
			want = result.CallNotRunStopping
		case DrainEvacuated:
			want = result.CallNotRunEvacuated
		}
		assert.Equal(t, drainRefusal("desk-1", reason).Code, want)
	}
}
