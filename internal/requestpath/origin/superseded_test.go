package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// runOrigin runs an origin until the test's bubble calls stop.
func runOrigin() (running *Origin, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	running, ended := New(Config{QueueLength: 8, QueueTime: time.Second}), make(chan struct{})
	go func() { defer close(ended); running.Run(ctx) }()
	synctest.Wait()
	return running, func() { cancel(); <-ended }
}

// beatOf is a heartbeat of a start of desk-1.
func beatOf(start, sequence uint64) Registration {
	return Registration{Service: "desk", Instance: "desk-1", StartUnixMillis: start, Address: "127.0.0.1:1", Slots: 8, Sequence: sequence}
}

// isReady reports whether an instance gets calls.
func isReady(running *Origin, name string) bool {
	instance, known := running.instance("desk", name)
	return known && instance.State() == StateReady
}

// Guards against a present instance that gets no calls for as long as one runs there: the clock was set back, and
// the departure of a later start ends the present one during a long call.
func TestPresentInstanceIsServedAgainDuringALongCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := runOrigin()
		defer stop()
		running.Register(beatOf(1000, 1))
		instance, _ := running.instance("desk", "desk-1@1000")
		slot, err := instance.queue.Acquire(t.Context(), admission.Request{NoWait: true})
		assert.NilError(t, err)
		defer slot.Release(false)
		running.Withdraw("desk-1@2000", "machine-b")
		assert.Assert(t, !isReady(running, "desk-1@1000"))
		for sequence := range uint64(5) {
			time.Sleep(1500 * time.Millisecond)
			running.Register(beatOf(1000, 2+sequence))
		}
		assert.Assert(t, isReady(running, "desk-1@1000"))
		second, err := instance.queue.Acquire(t.Context(), admission.Request{NoWait: true})
		assert.NilError(t, err)
		second.Release(false)
		running.Withdraw("desk-1@2000", "machine-c")
		assert.Assert(t, isReady(running, "desk-1@1000"), "the same departure is told again")
		running.Withdraw("desk-1@3000", "machine-c")
		assert.Assert(t, !isReady(running, "desk-1@1000"), "another departure")
	})
}

// Guards against a present instance that stays without calls while links open: each daemon names the departures
// that it remembers on each link.
func TestRepeatedWordOfADepartureDoesNotKeepThePresentInstanceAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := runOrigin()
		defer stop()
		running.Withdraw("desk-1@2000", "machine-b")
		for sequence := range uint64(5) {
			time.Sleep(1500 * time.Millisecond)
			running.Withdraw("desk-1@2000", "machine-c")
			running.Register(beatOf(1000, 1+sequence))
		}
		assert.Assert(t, isReady(running, "desk-1@1000"))
	})
}

// Guards against a present instance that is withdrawn for good: the clock was set back, a later start ended without a
// word, and one of its heartbeats is delivered again.
func TestHeartbeatThatIsDeliveredAgainDoesNotReplaceThePresentInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := runOrigin()
		defer stop()
		running.Register(beatOf(2000, 9))
		for sequence := range uint64(5) {
			time.Sleep(1500 * time.Millisecond)
			running.Register(beatOf(1000, 1+sequence))
		}
		assert.Assert(t, isReady(running, "desk-1@1000"))
		for _, sequence := range []uint64{9, 8} {
			running.Register(beatOf(2000, sequence))
			assert.Assert(t, isReady(running, "desk-1@1000"), "sequence %d", sequence)
		}
	})
}
