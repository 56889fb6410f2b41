package origin_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
)

// memoryDepartures is a departure.Store that outlasts the origins that use it.
type memoryDepartures struct {
	mutex  sync.Mutex
	stored map[string]bool
	// fault is the error of all calls; nil for none. hangs is true if calls get no answer.
	fault error
	hangs bool
	saves int
	calls int
	// restored is true if the store was restored from a backup lately.
	restored bool
}

func newDepartures() *memoryDepartures { return &memoryDepartures{stored: map[string]bool{}} }

func (m *memoryDepartures) begin(ctx context.Context) error {
	m.mutex.Lock()
	m.calls++
	hangs, fault := m.hangs, m.fault
	m.mutex.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	return fault
}

// setFault sets the error of all calls.
func (m *memoryDepartures) setFault(fault error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fault = fault
}

// restoreEmpty restores the store from a backup without departures.
func (m *memoryDepartures) restoreEmpty() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stored, m.restored = map[string]bool{}, true
}

func (m *memoryDepartures) contains(instance string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.stored[instance]
}

func (m *memoryDepartures) callCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls
}

func (m *memoryDepartures) Save(ctx context.Context, instance string) error {
	if err := m.begin(ctx); err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.saves++
	m.stored[instance] = true
	return nil
}

func (m *memoryDepartures) List(ctx context.Context) (departure.Listing, error) {
	if err := m.begin(ctx); err != nil {
		return departure.Listing{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return departure.Listing{Instances: map[string][]string{testNode: slices.Collect(maps.Keys(m.stored))}, RestoredLately: m.restored}, nil
}

// testNode is the name of the daemon in these tests.
const testNode = "node-1"

func (m *memoryDepartures) Expired(context.Context, string) ([]departure.Stored, error) {
	return nil, nil
}

func (m *memoryDepartures) Remove(context.Context, departure.Stored) error { return nil }

// startWithDepartures runs an origin with a store of departures in a synctest bubble until stop is called.
func startWithDepartures(t *testing.T, store departure.Store) (running *origin.Origin, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	history := departure.NewHistory(testNode, store, func() float64 { return 0.5 }, logr.Discard())
	running = origin.New(origin.Config{QueueLength: 8, QueueTime: time.Second, Departures: store, History: history})
	var goroutines sync.WaitGroup
	goroutines.Go(func() { running.Run(ctx) })
	goroutines.Go(func() { history.Run(ctx) })
	synctest.Wait()
	return running, func() { cancel(); goroutines.Wait() }
}

// startedRegistration is a ready heartbeat of an incarnation.
func startedRegistration(start, sequence uint64) origin.Registration {
	heartbeat := registration("desk-1", "127.0.0.1:1")
	heartbeat.StartUnixMillis, heartbeat.Sequence = start, sequence
	return heartbeat
}

var errStoreDown = errors.New("the store is down")

// leaves are the ways in which an instance announces that it leaves for good.
var leaves = map[string]func(*origin.Origin, origin.Registration) error{
	"drains": func(o *origin.Origin, heartbeat origin.Registration) error {
		heartbeat.Draining = true
		heartbeat.Sequence++
		return o.Heartbeat(context.Background(), heartbeat)
	},
	"retires": func(o *origin.Origin, heartbeat origin.Registration) error {
		return o.Retire(context.Background(), heartbeat.Instance, heartbeat.StartUnixMillis)
	},
	"retires without its start": func(o *origin.Origin, heartbeat origin.Registration) error {
		return o.Retire(context.Background(), heartbeat.Instance, 0)
	},
}

// A process that knows nothing of the leave that an earlier one acknowledged ignores late heartbeats, and
// registers a later start of the same instance.
func TestLateHeartbeatDoesNotBringBackAnInstanceThatLeftBeforeTheStart(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				earlier, stopEarlier := startWithDepartures(t, store)
				assert.NilError(t, earlier.Heartbeat(t.Context(), startedRegistration(1000, 5)))
				assert.NilError(t, leave(earlier, startedRegistration(1000, 5)))
				stopEarlier()
				later, stop := startWithDepartures(t, store)
				defer stop()
				for sequence := range uint64(4) {
					assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(1000, 1+sequence)))
					time.Sleep(time.Second)
				}
				assert.Equal(t, len(later.Advertised()), 0)
				assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(2000, 1)))
				assert.Equal(t, len(later.Advertised()), 1)
			})
		})
	}
}

// A leave that is not stored is not acknowledged, but the instance gets no calls from then on.
func TestLeaveIsAcknowledgedOnlyOnceItIsStored(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				running, stop := startWithDepartures(t, store)
				defer stop()
				heartbeat := startedRegistration(1000, 5)
				assert.NilError(t, running.Heartbeat(t.Context(), heartbeat))
				store.fault = errStoreDown
				assert.ErrorIs(t, leave(running, heartbeat), errStoreDown)
				assert.DeepEqual(t, running.Withdrawn(), []string{"desk-1@1000"})
				store.fault, store.hangs = nil, true
				assert.ErrorIs(t, leave(running, heartbeat), context.DeadlineExceeded)
				store.hangs = false
				assert.NilError(t, leaves["retires"](running, heartbeat))
				assert.NilError(t, leaves["drains"](running, heartbeat))
				assert.Equal(t, store.saves, 1)
			})
		})
	}
}

// While the store does not answer, a process that has just started registers an instance once its
// heartbeats have continued, and not by a single late one.
func TestInstanceIsServedAfterAStartWithoutTheStore(t *testing.T) {
	for name, disturb := range map[string]func(*memoryDepartures){
		"refuses": func(store *memoryDepartures) { store.fault = errStoreDown },
		"hangs":   func(store *memoryDepartures) { store.hangs = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				disturb(store)
				running, stop := startWithDepartures(t, store)
				defer stop()
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(1000, 5)))
				assert.Equal(t, len(running.Advertised()), 0)
				time.Sleep(1500 * time.Millisecond)
				assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(1000, 6)))
				assert.Equal(t, len(running.Advertised()), 1)
			})
		})
	}
}

// A process that has run for longer than a heartbeat can be late does not depend on the store to register
// instances.
func TestInstanceRegistersAtOnceLongAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		store.hangs = true
		running, stop := startWithDepartures(t, store)
		defer stop()
		time.Sleep(departure.TTL)
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(1000, 1)))
		assert.Equal(t, len(running.Advertised()), 1)
	})
}

// A leave that overtakes the look-up of a ready heartbeat prevails, in each form.
func TestLeaveDuringTheLookUpPrevails(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &heldLookUp{memoryDepartures: newDepartures(), release: make(chan struct{})}
				running, stop := startWithDepartures(t, store)
				defer stop()
				heartbeat := startedRegistration(recentStart(time.Minute), 4)
				go func() { assert.Check(t, running.Heartbeat(context.Background(), heartbeat)) }()
				synctest.Wait()
				assert.NilError(t, leave(running, heartbeat))
				close(store.release)
				time.Sleep(settleTime)
				assert.Equal(t, len(running.Advertised()), 0)
			})
		})
	}
}

// heldLookUp answers look-ups as of their beginning, once release is closed.
type heldLookUp struct {
	*memoryDepartures
	release chan struct{}
}

func (h *heldLookUp) List(ctx context.Context) (departure.Listing, error) {
	listing, err := h.memoryDepartures.List(ctx)
	<-h.release
	return listing, err
}

// Departures that a restored store may have lost are stored again.
func TestDeparturesAreStoredAgainAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		running, stop := startWithDepartures(t, store)
		defer stop()
		assert.NilError(t, running.Retire(t.Context(), "desk-1", 1000))
		clear(store.stored)
		running.DeparturesLost()
		synctest.Wait()
		assert.Assert(t, store.stored["desk-1@1000"])
	})
}

// Departures are stored again however long the store refuses after it was restored, with few calls.
func TestDeparturesAreStoredAgainOnceARestoredStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		running, stop := startWithDepartures(t, store)
		defer stop()
		assert.NilError(t, running.Retire(t.Context(), "desk-1", 1000))
		clear(store.stored)
		store.setFault(errStoreDown)
		before := store.callCount()
		running.DeparturesLost()
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.callCount()-before <= 15, "%d calls", store.callCount()-before)
		store.setFault(nil)
		time.Sleep(30 * time.Second)
		assert.Assert(t, store.contains("desk-1@1000"))
	})
}

// The process has the store for a second after its start; the heartbeats arrive when it refuses.
func TestSeveralLateHeartbeatsDuringAnOutageDoNotBringBackAnInstanceThatLeft(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				earlier, stopEarlier := startWithDepartures(t, store)
				assert.NilError(t, earlier.Heartbeat(t.Context(), startedRegistration(1000, 5)))
				assert.NilError(t, leave(earlier, startedRegistration(1000, 5)))
				stopEarlier()
				later, stop := startWithDepartures(t, store)
				defer stop()
				time.Sleep(time.Second)
				store.setFault(errStoreDown)
				for sequence := range uint64(3) {
					time.Sleep(1500 * time.Millisecond)
					assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(1000, 3+sequence)))
				}
				assert.Equal(t, len(later.Advertised()), 0)
			})
		})
	}
}

// By its stated start the instance seems younger than the process that gets the heartbeat.
func TestLateFirstHeartbeatAfterTheClockWasSetBackDoesNotBringBackAnInstanceThatLeft(t *testing.T) {
	for name, fault := range map[string]error{"store answers": nil, "store refuses": errStoreDown} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newDepartures()
				earlier, stopEarlier := startWithDepartures(t, store)
				start := uint64(time.Now().Add(2 * time.Second).UnixMilli())
				assert.NilError(t, earlier.Retire(t.Context(), "desk-1", start))
				stopEarlier()
				store.setFault(fault)
				later, stop := startWithDepartures(t, store)
				defer stop()
				time.Sleep(3 * time.Second)
				assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(start, 1)))
				assert.Equal(t, len(later.Advertised()), 0)
			})
		})
	}
}

// Messages of invented instances do not use up the calls of the store, and a leave that is refused for
// their number is stored later.
func TestInventedInstancesCauseFewCallsOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		running, stop := startWithDepartures(t, store)
		defer stop()
		var refused int
		for number := range 1000 {
			invented := startedRegistration(uint64(1+number), 1)
			invented.Draining = number%2 == 0
			if running.Heartbeat(t.Context(), invented) != nil {
				refused++
			}
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, store.calls <= departure.CallBurst+departure.CallsPerSecond+1, "%d calls", store.calls)
		assert.Assert(t, refused > 400, "%d refused", refused)
		time.Sleep(time.Second)
		assert.NilError(t, running.Retire(t.Context(), "desk-1", 1))
		assert.Assert(t, store.stored["desk-1@1"])
	})
}

// recentStart returns a start time, in milliseconds since 1970, that lies before now.
func recentStart(age time.Duration) uint64 { return uint64(time.Now().Add(-age).UnixMilli()) }

// The daemon does not know the incarnation that retires without its start: its process has just started, or has
// heard of an earlier one only.
func TestLateHeartbeatDoesNotBringBackAnInstanceThatLeftWithoutItsStart(t *testing.T) {
	for name, known := range map[string]bool{"nothing is known": false, "an earlier incarnation is known": true} {
		for ends, endsAfterwards := range map[string]bool{"": false, ", the daemon ends afterwards": true} {
			t.Run(name+ends, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := newDepartures()
					running, stop := startWithDepartures(t, store)
					start := recentStart(time.Minute)
					if known {
						assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(start-3600_000, 5)))
						time.Sleep(10 * time.Second)
					}
					assert.NilError(t, running.Retire(t.Context(), "desk-1", 0))
					if endsAfterwards {
						stop()
						running, stop = startWithDepartures(t, store)
					}
					defer stop()
					for sequence := range uint64(4) {
						assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(start, 20+sequence)))
						time.Sleep(time.Second)
					}
					assert.Equal(t, len(running.Advertised()), 0)
					assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(recentStart(0), 1)))
					assert.Equal(t, len(running.Advertised()), 1)
				})
			})
		}
	}
}

// An instance leaves with its start, and a message without one follows.
func TestHeartbeatWithoutAStartDoesNotBringBackAnInstanceThatLeft(t *testing.T) {
	for name, leave := range leaves {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startWithDepartures(t, newDepartures())
				defer stop()
				heartbeat := startedRegistration(recentStart(time.Minute), 5)
				assert.NilError(t, running.Heartbeat(t.Context(), heartbeat))
				assert.NilError(t, leave(running, heartbeat))
				for sequence := range uint64(4) {
					assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(0, 20+sequence)))
					time.Sleep(1500 * time.Millisecond)
				}
				assert.Equal(t, len(running.Advertised()), 0)
			})
		})
	}
}

// The instance is registered with its start and drains without it.
func TestDrainWithoutAStartWithdrawsTheKnownInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startWithDepartures(t, newDepartures())
		defer stop()
		heartbeat := startedRegistration(recentStart(time.Minute), 5)
		assert.NilError(t, running.Heartbeat(t.Context(), heartbeat))
		draining := startedRegistration(0, 6)
		draining.Draining = true
		assert.NilError(t, running.Heartbeat(t.Context(), draining))
		time.Sleep(settleTime)
		assert.Equal(t, len(running.Advertised()), 0)
		heartbeat.Sequence = 7
		assert.NilError(t, running.Heartbeat(t.Context(), heartbeat))
		assert.Equal(t, len(running.Advertised()), 0)
	})
}

// The daemon has just started, and the heartbeat that is on its way has the start.
func TestDrainWithoutAStartHoldsForAnInstanceThatIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		running, stop := startWithDepartures(t, store)
		defer stop()
		draining := startedRegistration(0, 6)
		draining.Draining = true
		for range 4 {
			draining.Sequence++
			assert.NilError(t, running.Heartbeat(t.Context(), draining))
			time.Sleep(1500 * time.Millisecond)
		}
		assert.Equal(t, store.saves, 1)
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(recentStart(time.Minute), 5)))
		assert.Equal(t, len(running.Advertised()), 0)
	})
}

// Guards against calls to an instance that left, at a daemon that started on a store restored from an older backup.
func TestLateHeartbeatDoesNotBringBackAnInstanceWhoseDepartureTheStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		earlier, stopEarlier := startWithDepartures(t, store)
		assert.NilError(t, earlier.Heartbeat(t.Context(), startedRegistration(1000, 5)))
		assert.NilError(t, leaves["drains"](earlier, startedRegistration(1000, 5)))
		stopEarlier()
		store.restoreEmpty()
		later, stop := startWithDepartures(t, store)
		defer stop()
		for range 4 {
			assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(1000, 1)))
			assert.Equal(t, len(later.Advertised()), 0)
			time.Sleep(500 * time.Millisecond)
		}
		later.Withdraw("desk-1@1000", "another daemon")
		time.Sleep(time.Minute)
		assert.Assert(t, store.contains("desk-1@1000"), "stored again")
		assert.NilError(t, later.Heartbeat(t.Context(), startedRegistration(1000, 1)))
		assert.Equal(t, len(later.Advertised()), 0)
	})
}

// An instance that is present registers by its second heartbeat where the store may lack its departure, and by the first
// one once other daemons have had the time to name it.
func TestInstancesRegisterAfterTheStoreWasRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newDepartures()
		store.restoreEmpty()
		running, stop := startWithDepartures(t, store)
		defer stop()
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(1000, 1)))
		assert.Equal(t, len(running.Advertised()), 0)
		time.Sleep(1500 * time.Millisecond)
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(1000, 2)))
		assert.Equal(t, len(running.Advertised()), 1)
		time.Sleep(5 * time.Second)
		assert.NilError(t, running.Heartbeat(t.Context(), startedRegistration(2000, 1)))
		assert.Assert(t, slices.ContainsFunc(running.Instances(), func(i *origin.Instance) bool { return i.Name == "desk-1@2000" }))
	})
}
