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

// What waits for an instance that crashes is refused at once, and nothing is sent to
// it until its next heartbeat.
func TestCrashedInstanceGetsNothingUntilItsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t, 4)
		fixture.heartbeat(coldDuration, 0)
		instance, _ := fixture.instance("desk", "desk-1")
		waiting := make(chan error, 1)
		go func() {
			_, err := instance.queue.Acquire(context.Background(), admission.Request{MaxWait: time.Minute, StartBy: time.Now().Add(time.Minute)})
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
		assert.Equal(t, fixture.admitFor(2*time.Second), 0, "an answer that was on its way brings it up")
		assert.Assert(t, contains(fixture.lines[len(fixture.lines)-1], `"instance.down"`, `"cause"="no_connections"`, `"waiting"=1`))
		fixture.heartbeat(0, 0)
		assert.Assert(t, fixture.admitFor(time.Second) > maxAdmittedPerSecond)
	})
}

// Calls take the way through the daemon to the closed port, and the last of them is not
// tried any more.
func TestCallsToADownInstanceAreNotTried(t *testing.T) {
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

func (b *fixture) newAttempt() *lapisv1.CallOpen {
	b.sequence++
	return &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", Method: "GET", Target: "/", AttemptId: time.Now().String()}
}

// An instance that drains while it is down stays closed when it is heard, and takes calls
// when the reason ended and it is heard.
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

// Calls that broke off have the instance probed, and one that does not accept a
// connection is down at once.
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
		assert.Assert(t, time.Now().Before(end), "it is not probed")
	}
}

func (b *fixture) currentRunContext() context.Context {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.runContext
}
