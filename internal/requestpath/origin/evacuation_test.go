package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// unreachableAddress is an address at which no back end listens.
const unreachableAddress = "127.0.0.1:1"

// newRunningOrigin returns an origin in region r1 with one instance of two slots. It is stopped at
// the end of the test's synctest bubble.
func newRunningOrigin(t *testing.T) *Origin {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	made := New(Config{QueueLength: 8, QueueTime: 10 * time.Second, Region: "r1"})
	done := make(chan struct{})
	go func() { defer close(done); made.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	made.Register(newHeartbeat("desk-1", 1))
	return made
}

func newHeartbeat(instance string, sequence uint64) Registration {
	return Registration{Service: "desk", Instance: instance, Address: unreachableAddress, Slots: 2, Sequence: sequence}
}

// startCall sends a call with the given allowed regions to desk-1; the channel receives its error.
func startCall(o *Origin, attempt string, regions ...string) chan error {
	ended := make(chan error, 1)
	go func() {
		open := &lapisv1.CallOpen{Service: "desk", Instance: "desk-1", AttemptId: attempt, Target: "/", Method: "GET", AllowedRegions: regions}
		_, err := o.Handle(context.Background(), &callapi.Call{Open: open})
		ended <- err
	}()
	return ended
}

func requireInstance(t *testing.T, o *Origin, name string) *Instance {
	t.Helper()
	instance, ok := o.instance("desk", name)
	assert.Assert(t, ok, "%s is not registered", name)
	return instance
}

// fillSlots takes both slots of the instance.
func fillSlots(t *testing.T, instance *Instance) (slots []*admission.Slot) {
	t.Helper()
	for range 2 {
		slot, err := instance.queue.Acquire(t.Context(), admission.Request{})
		assert.NilError(t, err)
		slots = append(slots, slot)
	}
	return slots
}

func assertCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	assert.Assert(t, result.Is(err, code), "%v", err)
}

// Calls that wait when the zone is evacuated, and later ones, are refused at once; running calls
// continue. After the evacuation the instance gets calls at once, without a further heartbeat.
func TestEvacuationWithCallsWaitingAndRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		instance := requireInstance(t, o, "desk-1")
		slots := fillSlots(t, instance)
		waiting := startCall(o, "waits")
		synctest.Wait()
		evacuatedAt, announced := time.Now(), 0
		o.config.Changed = func() { announced++ }
		o.SetEvacuated(true)
		o.SetEvacuated(true)
		assert.Equal(t, announced, 1, "the evacuation is announced at once, and once only")
		assertCode(t, <-waiting, result.CallNotRunEvacuated)
		assertCode(t, <-startCall(o, "comes later"), result.CallNotRunEvacuated)
		assert.Equal(t, time.Since(evacuatedAt), time.Duration(0))
		assert.Equal(t, o.InFlight(), 2)
		assert.Equal(t, instance.State(), StateDraining)
		assert.Equal(t, o.Advertised()[0].GetState(), lapisv1.Endpoint_STATE_DRAINING)
		for _, slot := range slots {
			slot.Release(true)
		}
		synctest.Wait()
		assert.Equal(t, instance.State(), StateDrained)
		o.SetEvacuated(false)
		assert.Equal(t, instance.State(), StateReady)
		assertCode(t, <-startCall(o, "after"), result.CallNotRunUnreachable)
	})
}

// An instance that registers in an evacuated zone gets no calls until the evacuation ends.
func TestInstanceThatRegistersDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		o.SetEvacuated(true)
		o.Register(Registration{Service: "desk", Instance: "desk-2", Address: "127.0.0.1:2", Slots: 2, Sequence: 1})
		second := requireInstance(t, o, "desk-2")
		_, err := second.queue.Acquire(t.Context(), admission.Request{})
		assertCode(t, err, result.CallNotRunEvacuated)
		o.SetEvacuated(false)
		assert.Equal(t, second.State(), StateReady)
	})
}

// An instance gets calls again when the last of its drain reasons ends, in any order; until then
// calls are refused with a reason that still applies.
func TestTwoReasonsToDrain(t *testing.T) {
	for name, evacuationEndsFirst := range map[string]bool{"evacuation ends first": true, "drain ends first": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				instance := requireInstance(t, o, "desk-1")
				instance.Drain(DrainOperator)
				o.SetEvacuated(true)
				if evacuationEndsFirst {
					o.SetEvacuated(false)
					assertCode(t, <-startCall(o, "drained"), result.CallNotRunDraining)
					instance.Resume(DrainOperator)
				} else {
					instance.Resume(DrainOperator)
					assertCode(t, <-startCall(o, "evacuated"), result.CallNotRunEvacuated)
					o.SetEvacuated(false)
				}
				assert.Equal(t, instance.State(), StateReady)
				assertCode(t, <-startCall(o, "after"), result.CallNotRunUnreachable)
			})
		})
	}
}

// Calls are refused with the first reason of drainReasonPrecedence, in whatever order the reasons
// were added: an instance that left permanently does not come back when the evacuation ends.
func TestCallsAreRefusedWithTheFirstReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		slots := fillSlots(t, requireInstance(t, o, "desk-1"))
		defer func() {
			for _, slot := range slots {
				slot.Release(false)
			}
		}()
		o.Withdraw("desk-1", "machine-b")
		o.SetEvacuated(true)
		assertCode(t, <-startCall(o, "leaves"), result.CallNotRunDraining)
		o.SetEvacuated(false)
		assertCode(t, <-startCall(o, "leaves still"), result.CallNotRunDraining)
	})
}

// An evacuated instance that sends heartbeats holds its address like a ready one: a delayed
// heartbeat of an earlier instance does not withdraw it.
func TestLateHeartbeatDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		o.SetEvacuated(true)
		o.Register(newHeartbeat("desk-0", 9))
		for sequence := range uint64(60) {
			o.Register(newHeartbeat("desk-1", 2+sequence))
			time.Sleep(1500 * time.Millisecond)
		}
		assert.Equal(t, len(o.Withdrawn()), 0)
		o.SetEvacuated(false)
		assert.Equal(t, requireInstance(t, o, "desk-1").State(), StateReady)
	})
}

// An evacuated instance that falls silent is not dropped, and comes back with its next heartbeat;
// one that stays silent after the evacuation counts as down and is dropped.
func TestSilentInstanceDuringAnEvacuation(t *testing.T) {
	for name, comesBack := range map[string]bool{"comes back": true, "stays away": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				o.SetEvacuated(true)
				time.Sleep(5 * time.Minute)
				instance := requireInstance(t, o, "desk-1")
				assert.Equal(t, instance.advertisedState(), lapisv1.Endpoint_STATE_DRAINING)
				o.SetEvacuated(false)
				if comesBack {
					o.Register(newHeartbeat("desk-1", 2))
					assert.Equal(t, instance.State(), StateReady)
					return
				}
				assert.Equal(t, instance.State(), StateDown)
				time.Sleep(time.Second)
				assert.Equal(t, len(o.Advertised()), 0)
			})
		})
	}
}

// The instance's daemon refuses calls that may not run in its region, whatever region the caller's
// daemon assumed.
func TestCallsRunInTheirRegionsOnly(t *testing.T) {
	for name, row := range map[string]struct {
		region  string
		regions []string
		code    result.Code
	}{
		"no list of regions":          {"r1", nil, result.CallNotRunUnreachable},
		"allowed region":              {"r1", []string{"r0", "r1"}, result.CallNotRunUnreachable},
		"abroad":                      {"r1", []string{"r2"}, result.CallNotRunRegion},
		"unknown region, with a list": {"", []string{"r2", ""}, result.CallNotRunRegion},
		"unknown region, no list":     {"", nil, result.CallNotRunUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				o.config.Region = row.region
				assertCode(t, <-startCall(o, "a", row.regions...), row.code)
			})
		})
	}
}

// A waiting call keeps the allowed regions with which it arrived when the configuration changes.
func TestHomesChangeWhileACallWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		slots := fillSlots(t, requireInstance(t, o, "desk-1"))
		before := startCall(o, "before", "r1")
		otherRegion := startCall(o, "abroad", "r2")
		synctest.Wait()
		o.Configure(&snapshot.Snapshot{Revision: 2})
		after := startCall(o, "after", "r2")
		synctest.Wait()
		for _, slot := range slots {
			slot.Release(true)
		}
		assertCode(t, <-before, result.CallNotRunUnreachable)
		assertCode(t, <-otherRegion, result.CallNotRunRegion)
		assertCode(t, <-after, result.CallNotRunRegion)
		assert.Equal(t, o.InFlight(), 0)
	})
}

// Calls that wait when the instance leaves, and later ones, are refused before the leave is acknowledged.
func TestNoWaitingCallOutlastsTheLeave(t *testing.T) {
	for name, leave := range map[string]func(*Origin) error{
		"drains": func(o *Origin) error {
			draining := newHeartbeat("desk-1", 2)
			draining.Draining = true
			return o.Heartbeat(t.Context(), draining)
		},
		"retires": func(o *Origin) error { return o.Retire(t.Context(), "desk-1", 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				slots := fillSlots(t, requireInstance(t, o, "desk-1"))
				waiting := startCall(o, "waits")
				synctest.Wait()
				assert.NilError(t, leave(o))
				slots[0].Release(true)
				assertCode(t, <-waiting, result.CallNotRunDraining)
				assertCode(t, <-startCall(o, "comes later"), result.CallNotRunDraining)
				slots[1].Release(true)
				assertCode(t, <-startCall(o, "comes after the last"), result.CallNotRunDraining)
			})
		})
	}
}
