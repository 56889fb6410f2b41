package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Calls that wait for an instance that goes down are refused at once, and no calls are admitted
// until its next heartbeat.
func TestCrashedInstanceGetsNoCallsUntilItsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		fixture.heartbeat(coldDuration, 0)
		instance, _ := fixture.instance("desk", "desk-1")
		waiting := make(chan error, 1)
		go func() {
			_, err := instance.queue.Acquire(context.Background(), admission.Request{MaxWait: time.Minute, LatestStart: time.Now().Add(time.Minute)})
			waiting <- err
		}()
		synctest.Wait()
		for range downAfterFailures {
			instance.recordCallEnd(result.Errorf(result.CallNotRunUnreachable, "refused"))
		}
		synctest.Wait()
		assert.Assert(t, result.Is(<-waiting, result.CallNotRunUnreachable))
		assert.Equal(t, fixture.Advertised()[0].GetState(), lapisv1.Endpoint_STATE_SUSPECT)
		instance.recordCallEnd(nil)
		assert.Equal(t, fixture.admitFor(2*time.Second), 0, "a late response brings the instance up")
		assert.Assert(t, contains(fixture.lines[len(fixture.lines)-1], `"instance.down"`, `"cause"="no_connections"`, `"waiting"=1`))
		fixture.heartbeat(0, 0)
		assert.Assert(t, fixture.admitFor(time.Second) > maxAdmittedPerSecond)
	})
}

// Calls fail at the closed port until the instance is marked as down; the next call is refused
// without a connection attempt.
func TestCallsToADownInstanceAreRefused(t *testing.T) {
	fixture := newFixture(t, 0)
	fixture.heartbeat(0, 0)
	var err error
	for range downAfterFailures + 1 {
		attempt := fixture.newAttempt()
		_, err = fixture.Handle(context.Background(), &callapi.Call{Open: attempt})
		assert.Assert(t, result.Is(err, result.CallNotRunUnreachable), "%v", err)
	}
	assert.ErrorContains(t, err, "is down (no_connections)")
}

func (f *fixture) newAttempt() *lapisv1.CallOpen {
	f.sequence++
	return &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", Method: "GET", Target: "/", AttemptId: time.Now().String()}
}

// An instance that drains while it is down gets no calls after a heartbeat; it gets calls once the
// drain has ended and a heartbeat has arrived.
func TestDownInstanceThatDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 0)
		fixture.heartbeat(0, 0)
		instance, _ := fixture.instance("desk", "desk-1")
		for range downAfterFailures {
			instance.recordCallEnd(result.Errorf(result.CallNotRunUnreachable, "refused"))
		}
		instance.Drain(DrainOperator)
		fixture.heartbeat(0, 0)
		assert.Equal(t, fixture.admitFor(10*time.Millisecond), 0)
		instance.Resume(DrainOperator)
		fixture.heartbeat(0, 0)
		assert.Assert(t, fixture.admitFor(10*time.Millisecond) > 0)
	})
}

// Broken calls cause a probe of the instance, and one that does not accept a connection is marked
// as down at once.
func TestBrokenCallsHaveTheInstanceProbed(t *testing.T) {
	fixture := newFixture(t, 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); fixture.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	for fixture.currentRunContext() == nil {
		time.Sleep(time.Millisecond)
	}
	fixture.heartbeat(0, 0)
	instance, _ := fixture.instance("desk", "desk-1")
	for range probeAfterBrokenCalls {
		fixture.recordCallEnd(instance, result.Errorf(result.CallUnknownOutcome, "reset"))
	}
	for end := time.Now().Add(5 * time.Second); instance.State() != StateDown; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the instance was not probed")
	}
}

func (f *fixture) currentRunContext() context.Context {
	f.mutex.RLock()
	defer f.mutex.RUnlock()
	return f.runContext
}
