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

// unreachableAddress is an address at which no back end answers.
const unreachableAddress = "127.0.0.1:1"

// newRunningOrigin returns an origin in region r1 with one instance of two slots. It is stopped by
// the end of the test's bubble.
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

// startCall hands a startCall to desk-1, for the given regions, and returns how it ends.
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
	assert.Assert(t, ok, "%s is forgotten", name)
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

// Calls that wait when the zone is evacuated, and later ones, are refused at once; those that run go
// on. After the end of the evacuation the instance takes work at once, without a further heartbeat.
func TestEvacuationWithCallsWaitingAndRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		instance := requireInstance(t, o, "desk-1")
		slots := fillSlots(t, instance)
		waiting := startCall(o, "waits")
		synctest.Wait()
		ordered, announced := time.Now(), 0
		o.config.Changed = func() { announced++ }
		o.SetEvacuated(true)
		o.SetEvacuated(true)
		assert.Equal(t, announced, 1, "it is announced at once, and once")
		assertCode(t, <-waiting, result.CallNotRunEvacuated)
		assertCode(t, <-startCall(o, "comes later"), result.CallNotRunEvacuated)
		assert.Equal(t, time.Since(ordered), time.Duration(0))
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

// An instance that registers in an evacuated zone gets nothing until that ends.
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

// An instance takes work again when the last of its reasons to drain ended, in whatever
// order; until then calls are refused with a reason that holds.
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

// Calls are refused with the first reason of drainReasons, in whatever order they came: an instance
// that left for good does not come back with the end of the evacuation.
func TestCallsAreRefusedWithTheFirstReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		slots := fillSlots(t, requireInstance(t, o, "desk-1"))
		defer func() {
			for _, slot := range slots {
				slot.Release(false)
			}
		}()
		o.Withdraw("desk-1")
		o.SetEvacuated(true)
		assertCode(t, <-startCall(o, "leaves"), result.CallNotRunDraining)
		o.SetEvacuated(false)
		assertCode(t, <-startCall(o, "leaves still"), result.CallNotRunDraining)
	})
}

// An evacuated instance whose heartbeats come is as much the one at its address as one
// that works: a late heartbeat of an earlier one does not end it.
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

// An evacuated instance that falls silent is not forgotten, and comes back with its next
// heartbeat; one that stays silent after the evacuation counts as down and is dropped.
func TestSilentInstanceDuringAnEvacuation(t *testing.T) {
	for name, back := range map[string]bool{"comes back": true, "stays away": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				o.SetEvacuated(true)
				time.Sleep(5 * time.Minute)
				instance := requireInstance(t, o, "desk-1")
				assert.Equal(t, instance.advertisedState(), lapisv1.Endpoint_STATE_DRAINING)
				o.SetEvacuated(false)
				if back {
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

// The daemon beside the instance refuses what may not run in its region, whatever the
// caller's daemon believed.
func TestCallsRunInTheirRegionsOnly(t *testing.T) {
	for name, row := range map[string]struct {
		region  string
		regions []string
		code    result.Code
	}{
		"anywhere":        {"r1", nil, result.CallNotRunUnreachable},
		"at home":         {"r1", []string{"r0", "r1"}, result.CallNotRunUnreachable},
		"abroad":          {"r1", []string{"r2"}, result.CallNotRunRegion},
		"nobody knows":    {"", []string{"r2", ""}, result.CallNotRunRegion},
		"unknown, no one": {"", nil, result.CallNotRunUnreachable},
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

// A call keeps the homes that it came with while it waits, whatever comes in force meanwhile.
func TestHomesChangeWhileACallWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newRunningOrigin(t)
		slots := fillSlots(t, requireInstance(t, o, "desk-1"))
		before := startCall(o, "before", "r1")
		abroad := startCall(o, "abroad", "r2")
		synctest.Wait()
		o.Configure(&snapshot.Snapshot{Revision: 2})
		after := startCall(o, "after", "r2")
		synctest.Wait()
		for _, slot := range slots {
			slot.Release(true)
		}
		assertCode(t, <-before, result.CallNotRunUnreachable)
		assertCode(t, <-abroad, result.CallNotRunRegion)
		assertCode(t, <-after, result.CallNotRunRegion)
		assert.Equal(t, o.InFlight(), 0)
	})
}
