package origin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// earlierStart and laterStart are the starts of two incarnations of desk-1.
const earlierStart, laterStart = 1000, 2000

// lateArrivals are when heartbeats of the earlier incarnation arrive after the leave of the later one.
var lateArrivals = map[string][]time.Duration{
	"no late heartbeat":       nil,
	"a late one":              {200 * time.Millisecond},
	"one that is much later":  {6 * time.Second},
	"several within a second": {5 * time.Second, 5*time.Second + 400*time.Millisecond, 5*time.Second + 800*time.Millisecond},
	"late ones throughout":    {500 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond},
}

// assertNeverReady delivers heartbeats of the earlier incarnation at their times and asserts that no instance is
// ready, then or long after, and that none is left.
func assertNeverReady(t *testing.T, running *origin.Origin, arrivals []time.Duration) {
	t.Helper()
	begun := time.Now()
	assert.DeepEqual(t, readyNames(running), []string{})
	for index, at := range arrivals {
		time.Sleep(time.Until(begun.Add(at)))
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 6+uint64(index))))
		assert.Equal(t, len(readyNames(running)), 0, "after %s", at)
	}
	time.Sleep(settleTime)
	assert.Equal(t, len(running.Advertised()), 0)
}

// An instance starts again under its ID, and all that arrives of the later incarnation is its leave.
func TestLeaveOfALaterStartEndsTheEarlierOne(t *testing.T) {
	for name, leave := range leaves {
		if name == "retires without its start" {
			continue // The message does not say that a later incarnation sent it.
		}
		for late, arrivals := range lateArrivals {
			t.Run(name+", "+late, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					running, stop := startWithDepartures(t, newDepartures())
					defer stop()
					assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 5)))
					time.Sleep(100 * time.Millisecond)
					assert.NilError(t, leave(running, startedRegistration(laterStart, 1)))
					assertNeverReady(t, running, arrivals)
				})
			})
		}
	}
}

// The later incarnation left while an earlier process of the daemon ran. A heartbeat of the earlier incarnation
// registered before that was known.
func TestDepartureOfALaterStartThatIsLearnedEndsTheEarlierOne(t *testing.T) {
	for name, learn := range map[string]func(*origin.Origin, *memoryDepartures){
		"from another daemon": func(running *origin.Origin, _ *memoryDepartures) { running.Withdraw("desk-1@2000", "machine-b") },
		"from the store": func(running *origin.Origin, store *memoryDepartures) {
			store.setFault(nil)
			for len(running.Withdrawn()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				assert.NilError(t, store.Save(t.Context(), "desk-1@2000"))
				store.setFault(errStoreDown)
				running, stop := startWithDepartures(t, store)
				defer stop()
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 5)))
				time.Sleep(1500 * time.Millisecond)
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 6)))
				assert.DeepEqual(t, readyNames(running), []string{"desk-1@1000"})
				learn(running, store)
				assertNeverReady(t, running, []time.Duration{0, 3 * time.Second})
			})
		})
	}
}

// The process knows only that the later incarnation left, and a heartbeat of the earlier one arrives.
func TestLateHeartbeatAfterAStartDoesNotRegisterAnEarlierStart(t *testing.T) {
	for name, leave := range leaves {
		if name == "retires without its start" {
			continue // The message does not say that a later incarnation sent it.
		}
		for late, arrivals := range lateArrivals {
			t.Run(name+", "+late, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newDepartures()
					earlier, stopEarlier := startWithDepartures(t, store)
					assert.NilError(t, earlier.Heartbeat(t.Context(), startedRegistration(earlierStart, 5)))
					assert.NilError(t, leave(earlier, startedRegistration(laterStart, 1)))
					stopEarlier()
					running, stop := startWithDepartures(t, store)
					defer stop()
					time.Sleep(time.Second)
					assertNeverReady(t, running, arrivals)
				})
			})
		}
	}
}

// The clock was set back between two starts, so the incarnation that is present has the lower start. It is
// served once its heartbeats have gone on for longer than late ones do, also if the departure of the other one ended it.
func TestPresentInstanceWithALowerStartThanOneThatLeftIsServed(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, *origin.Origin){
		"left before": func(t *testing.T, running *origin.Origin) {
			assert.NilError(t, leaves["drains"](running, startedRegistration(laterStart, 900)))
		},
		"its leave is late": func(t *testing.T, running *origin.Origin) {
			assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 1)))
			time.Sleep(heartbeatInterval)
			assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart, 900)))
		},
		"another daemon tells": func(t *testing.T, running *origin.Origin) {
			assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 1)))
			time.Sleep(heartbeatInterval)
			running.Withdraw("desk-1@2000", "machine-b")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				running, stop := startWithDepartures(t, store)
				defer stop()
				leave(t, running)
				for sequence := range uint64(5) {
					time.Sleep(heartbeatInterval)
					assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 2+sequence)))
				}
				assert.DeepEqual(t, readyNames(running), []string{"desk-1@1000"})
				// The message of the other one is repeated, and others tell of it.
				assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart, 900)))
				running.Withdraw("desk-1@2000", "machine-b")
				time.Sleep(settleTime)
				assert.DeepEqual(t, readyNames(running), []string{"desk-1@1000"})
			})
		})
	}
}

// A second departure asks for heartbeats that go on after it, whatever arrived before.
func TestHeartbeatsBeforeADepartureDoNotCountAsThoseAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart, 1)))
		for sequence := range uint64(6) {
			time.Sleep(heartbeatInterval)
			assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 1+sequence)))
		}
		assert.DeepEqual(t, readyNames(running), []string{"desk-1@1000"})
		assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart+1, 1)))
		assertNeverReady(t, running, []time.Duration{5 * time.Second})
	})
}

// An instance with another ID starts at the address, and all that arrives of it is its draining heartbeat.
func TestDrainOfALaterStartEndsTheEarlierOneAtItsAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 5)))
		assert.NilError(t, running.Heartbeat(t.Context(), withDraining(withInstanceID("desk-2", startedRegistration(laterStart, 1)))))
		assertNeverReady(t, running, nil)
	})
}

// Calls for the earlier incarnation, those that wait and those that arrive, are refused as for one that left.
func TestCallsForAnEarlierStartEndWithTheLeaveOfALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 5)))
		assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart, 1)))
		for _, attempt := range []string{"at once", "once it is dropped"} {
			call := &callapi.Call{Open: &lapisv1.CallOpen{Service: "desk", Instance: "desk-1@1000", AttemptId: attempt}}
			_, err := running.Handle(context.Background(), call)
			assert.Assert(t, result.Is(err, result.CallNotRunDraining), "%s: %v", attempt, err)
			time.Sleep(settleTime)
		}
	})
}

// A departure is remembered, and so is the order of starts, for as long as a heartbeat may be late.
func TestEarlierStartRegistersAtOnceAfterTheDepartureExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		assert.NilError(t, leaves["retires"](running, startedRegistration(laterStart, 1)))
		time.Sleep(departure.TTL + time.Second)
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(earlierStart, 1)))
		assert.DeepEqual(t, readyNames(running), []string{"desk-1@1000"})
	})
}

// The message may come from a later incarnation than the one that is present, and a heartbeat of that one follows.
func TestLeaveWithoutAStartHoldsForALaterStartThatWasNotHeard(t *testing.T) {
	for name, leave := range map[string]func(*testing.T, *origin.Origin){
		"drains": func(t *testing.T, running *origin.Origin) {
			assert.NilError(t, running.Heartbeat(t.Context(), withDraining(startedRegistration(0, 3))))
		},
		"retires": func(t *testing.T, running *origin.Origin) {
			assert.NilError(t, running.Retire(t.Context(), "desk-1", 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startWithDepartures(t, newDepartures())
				defer stop()
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(recentStart(time.Minute), 5)))
				later := recentStart(0)
				time.Sleep(100 * time.Millisecond)
				leave(t, running)
				for sequence, at := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
					time.Sleep(at)
					assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(later, 1+uint64(sequence))))
					assert.Equal(t, len(readyNames(running)), 0)
				}
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(recentStart(0), 1)))
				assert.Equal(t, len(readyNames(running)), 1)
			})
		})
	}
}

// By its start the instance began before the message arrived, but it is a new one.
func TestInstanceThatStartsAfterAMessageWithoutAStartIsServedThoughTheClockWasSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(recentStart(time.Minute), 5)))
		assert.NilError(t, running.Retire(t.Context(), "desk-1", 0))
		start := recentStart(30 * time.Second)
		for sequence := range uint64(6) {
			time.Sleep(heartbeatInterval)
			assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(start, 1+sequence)))
		}
		assert.Equal(t, len(readyNames(running)), 1)
	})
}
