package origin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// settleTime is longer than the interval at which an origin checks its instances.
const settleTime = time.Second

// startOrigin runs an origin in a synctest bubble until stop is called.
func startOrigin(t *testing.T) (running *origin.Origin, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	running = origin.New(origin.Config{QueueLength: 8, QueueTime: time.Second})
	done := make(chan struct{})
	go func() { defer close(done); running.Run(ctx) }()
	synctest.Wait()
	return running, func() { cancel(); <-done }
}

func registration(instance, address string) origin.Registration {
	return origin.Registration{Service: "desk", Instance: instance, Address: address, Slots: 2, Sequence: 1}
}

// An instance that left is dropped once it has no calls in flight.
func TestInstancesThatLeftAreDropped(t *testing.T) {
	for name, leave := range map[string]func(*origin.Origin){
		"is withdrawn": func(o *origin.Origin) { o.Withdraw("desk-1", "machine-b") },
		"drains": func(o *origin.Origin) {
			draining := registration("desk-1", "127.0.0.1:1")
			draining.Draining = true
			draining.Sequence = 2
			o.Register(draining)
		},
		"its address is taken": func(o *origin.Origin) {
			o.Register(registration("desk-2", "127.0.0.1:1"))
			second := registration("desk-2", "127.0.0.1:1")
			second.Sequence = 2
			o.Register(second)
		},
		"its heartbeats stop": func(*origin.Origin) { time.Sleep(2 * time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startOrigin(t)
				defer stop()
				running.Register(registration("desk-1", "127.0.0.1:1"))
				leave(running)
				time.Sleep(settleTime)
				for _, endpoint := range running.Advertised() {
					assert.Assert(t, endpoint.GetInstance() != "desk-1", "it is announced as %s", endpoint.GetState())
				}
			})
		})
	}
}

// The version of an instance is announced with it.
func TestVersionIsAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startOrigin(t)
		defer stop()
		versioned := registration("desk-1", "127.0.0.1:1")
		versioned.Version = "v7"
		running.Register(versioned)
		assert.Equal(t, running.Advertised()[0].GetVersion(), "v7")
	})
}

// Delayed heartbeats do not bring back an instance that left, and calls for it are refused as for
// one that drains.
func TestInstanceThatLeftDoesNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startOrigin(t)
		defer stop()
		running.Register(registration("desk-1", "127.0.0.1:1"))
		running.Withdraw("desk-1", "machine-b")
		time.Sleep(settleTime)
		late := registration("desk-1", "127.0.0.1:1")
		late.Sequence = 9
		running.Register(late)
		assert.Equal(t, len(running.Advertised()), 0)
		assert.DeepEqual(t, running.Withdrawn(), []string{"desk-1"})
		call := &callapi.Call{Open: &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", AttemptId: "a"}}
		_, err := running.Handle(context.Background(), call)
		assert.Assert(t, result.Is(err, result.CallNotRunDraining), "%v", err)
	})
}

// An instance that was dropped because it was silent may come back under its name.
func TestSilentInstanceComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startOrigin(t)
		defer stop()
		running.Register(registration("desk-1", "127.0.0.1:1"))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(running.Advertised()), 0)
		running.Register(registration("desk-1", "127.0.0.1:1"))
		endpoints := running.Advertised()
		assert.Equal(t, len(endpoints), 1)
		assert.Equal(t, endpoints[0].GetState(), lapisv1.Endpoint_STATE_READY)
	})
}

// A delayed heartbeat may arrive after its instance has crashed and another one has registered at its
// address, also at a daemon that has restarted since and does not know the first one. It must not
// withdraw the present one.
func TestLateHeartbeatOfAnEarlierInstance(t *testing.T) {
	heartbeat := func(instance string, sequence uint64) origin.Registration {
		sent := registration(instance, "127.0.0.1:1")
		sent.Sequence = sequence
		return sent
	}
	for name, row := range map[string]struct {
		heartbeats []origin.Registration
		ready      string
	}{
		"earlier one known":                 {[]origin.Registration{heartbeat("old", 7), heartbeat("new", 1), heartbeat("old", 8), heartbeat("new", 2)}, "new"},
		"earlier one forgotten":             {[]origin.Registration{heartbeat("new", 1), heartbeat("old", 8), heartbeat("new", 2)}, "new"},
		"earlier one forgotten, twice late": {[]origin.Registration{heartbeat("new", 1), heartbeat("old", 8), heartbeat("old", 9), heartbeat("new", 2)}, "new"},
		"neither heartbeat is the first":    {[]origin.Registration{heartbeat("new", 5), heartbeat("old", 8), heartbeat("new", 6)}, "new"},
		"a later one takes over":            {[]origin.Registration{heartbeat("old", 7), heartbeat("new", 1)}, "new"},
		"a later one, first heartbeat lost": {[]origin.Registration{heartbeat("old", 7), heartbeat("new", 2), heartbeat("new", 3), heartbeat("new", 4)}, "new"},
		"earlier one forgotten, its first":  {[]origin.Registration{heartbeat("new", 5), heartbeat("old", 1), heartbeat("new", 6)}, "new"},
		"its first and second, late":        {[]origin.Registration{heartbeat("new", 5), heartbeat("old", 1), heartbeat("new", 6), heartbeat("old", 2), heartbeat("new", 7)}, "new"},
		"its first, delivered twice":        {[]origin.Registration{heartbeat("new", 5), heartbeat("old", 1), heartbeat("old", 1), heartbeat("new", 6)}, "new"},
		"a later one is confirmed":          {[]origin.Registration{heartbeat("old", 7), heartbeat("new", 1), heartbeat("new", 2), heartbeat("old", 8)}, "new"},
		"earlier one leaves, delayed":       {[]origin.Registration{heartbeat("new", 1), {Service: "desk", Instance: "old", Address: "127.0.0.1:1", Slots: 2, Sequence: 9, Draining: true}, heartbeat("new", 2)}, "new"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startOrigin(t)
				defer stop()
				for _, sent := range row.heartbeats {
					running.Register(sent)
					time.Sleep(1600 * time.Millisecond)
				}
				ready := []string{}
				for _, endpoint := range running.Advertised() {
					if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
						ready = append(ready, endpoint.GetInstance())
					}
				}
				assert.DeepEqual(t, ready, []string{row.ready})
			})
		})
	}
}

// A daemon that is about to stop accepts the calls that end before it does, so that its instance
// does not idle, and refuses the others as not run.
func TestStoppingDaemonAcceptsOnlyCallsThatEndBeforeIt(t *testing.T) {
	stopping := origin.New(origin.Config{QueueLength: 8, QueueTime: time.Second})
	stopping.Register(registration("desk-1", "127.0.0.1:1"))
	stopping.Drain(time.Now().Add(time.Hour))
	for name, test := range map[string]struct {
		lasts time.Duration
		code  result.Code
	}{
		// No back end listens at the instance's address, so accepted calls are unreachable.
		"short":         {time.Minute, result.CallNotRunUnreachable},
		"too long":      {2 * time.Hour, result.CallNotRunStopping},
		"without bound": {0, result.CallNotRunStopping},
	} {
		call := &callapi.Call{Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", AttemptId: name, DeadlineMillis: uint32(test.lasts.Milliseconds()),
		}}
		_, err := stopping.Handle(context.Background(), call)
		assert.Assert(t, result.Is(err, test.code), "%s: %v", name, err)
	}
	stopping.Stop()
	call := &callapi.Call{Open: &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", AttemptId: "later", DeadlineMillis: 1000}}
	_, err := stopping.Handle(context.Background(), call)
	assert.Assert(t, result.Is(err, result.CallNotRunStopping), "%v", err)
}
