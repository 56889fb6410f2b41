package departure

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// listedStore is a Store that holds the departures stored so far, by node.
type listedStore struct {
	Store
	mutex  sync.Mutex
	stored map[string][]string
	fault  error
	reads  int
	// restored is Listing.RestoredLately of all listings.
	restored bool
}

func (s *listedStore) store(node, instance string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stored[node] = append(s.stored[node], instance)
}

func (s *listedStore) setFault(fault error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

func (s *listedStore) readCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reads
}

func (s *listedStore) List(context.Context) (Listing, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	listing := Listing{Instances: map[string][]string{}, RestoredLately: s.restored}
	for node, instances := range s.stored {
		listing.Instances[node] = append([]string(nil), instances...)
	}
	return listing, s.fault
}

func newStore() *listedStore { return &listedStore{stored: map[string][]string{}} }

func newTestHistory(node string, store Store, draw float64) *History {
	return NewHistory(node, store, func() float64 { return draw }, logr.Discard())
}

// runHistory runs a history until the returned function is called.
func runHistory(history *History) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); history.Run(ctx) }()
	return func() { cancel(); <-done }
}

// Whenever another daemon's read began, and however long the request and the answer took, a complete history
// has each departure that was stored before the start of the process.
func TestHistoryFromAnotherDaemonMissesNoDeparture(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		delay := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20).Draw(draw, name)) * 100 * time.Millisecond
		}
		readAt, departedAt, requestAfter := delay("read at"), delay("departed at"), delay("request after the start")
		startedAfter, requestTook, answerTook := delay("started after the departure"), delay("request took"), delay("answer took")
		synctest.Test(t, func(t *testing.T) {
			store := newStore()
			reader := newTestHistory("reader", store, 0.5)
			start := time.Now()
			at := func(after time.Duration) { time.Sleep(time.Until(start.Add(after))) }
			go func() { at(readAt); reader.read(context.Background()) }()
			go func() { at(departedAt); store.store("asker", "i-1") }()
			at(departedAt + startedAfter)
			synctest.Wait()
			asker := newTestHistory("asker", store, 0.5)
			time.Sleep(requestAfter)
			uptime := asker.Uptime()
			time.Sleep(requestTook)
			receivedAt := time.Now()
			var instances []string
			var readAt time.Duration
			var restored bool
			for known := false; !known; {
				if time.Since(start) > 10*time.Second {
					return
				}
				time.Sleep(100 * time.Millisecond)
				instances, readAt, restored, known = reader.Answer("asker", receivedAt, uptime)
			}
			time.Sleep(answerTook)
			asker.Offer(readAt, instances, restored, "reader")
			assert.Check(t, asker.Missing() || len(asker.Left()) == 1)
		})
	})
}

// A read that began after the start of another process is used for its daemon, and one before is not.
func TestReadIsAnsweredToProcessesThatStartedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.store("asker", "i-1")
		reader := newTestHistory("reader", store, 0.5)
		_, _, _, known := reader.Answer("asker", time.Now(), time.Hour)
		assert.Assert(t, !known, "before any read")
		reader.read(context.Background())
		time.Sleep(time.Second)
		instances, readAt, _, known := reader.Answer("asker", time.Now(), 2*time.Second)
		assert.Assert(t, known)
		assert.Equal(t, readAt, time.Second)
		assert.DeepEqual(t, instances, []string{"i-1"})
		_, _, _, known = reader.Answer("asker", time.Now(), 500*time.Millisecond)
		assert.Assert(t, !known, "started after the read")
		_, _, _, known = reader.Answer("asker", time.Now(), time.Second)
		assert.Assert(t, !known, "started at the moment of the read")
		reader.listing.Node = "reader"
		_, _, _, known = reader.Answer("asker", time.Now(), 2*time.Second)
		assert.Assert(t, !known, "a listing of another node")
	})
}

// A read of a restored store is doubtful for a while, at the daemon that made it and at one to which it is answered.
func TestReadOfARestoredStoreIsDoubtful(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.restored = true
		reader, asker := newTestHistory("reader", store, 0.5), newTestHistory("asker", store, 0.5)
		assert.Assert(t, !reader.IsDoubtful() && !reader.MayLack(), "nothing is known yet")
		time.Sleep(time.Second)
		reader.read(context.Background())
		instances, readAt, restored, known := reader.Answer("asker", time.Now(), time.Second)
		assert.Assert(t, known && restored)
		asker.Offer(readAt, instances, restored, "reader")
		for _, history := range []*History{reader, asker} {
			assert.Assert(t, !history.Missing() && history.IsDoubtful())
		}
		time.Sleep(doubtPeriod)
		for _, history := range []*History{reader, asker} {
			assert.Assert(t, !history.IsDoubtful() && history.MayLack())
		}
	})
}

// A heartbeat that waits for the departures makes the read due soon, and an error ends the wait.
func TestAwaitedReadIsDueSoon(t *testing.T) {
	for name, fault := range map[string]error{"answers": nil, "refuses": errors.New("refused")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore()
				store.setFault(fault)
				history := newTestHistory("node", store, 1)
				defer runHistory(history)()
				start := time.Now()
				assert.Equal(t, history.Await(t.Context()), fault)
				assert.Assert(t, time.Since(start) <= awaitedReadMax, "%s", time.Since(start))
				assert.Equal(t, history.Missing(), fault != nil)
			})
		})
	}
}

// During an outage of the store the reads of a daemon become rare, and they end once the departures are not
// required any more.
func TestFailedReadsOfDeparturesBecomeRare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		store.setFault(errors.New("refused"))
		history := newTestHistory("node", store, 0.5)
		defer runHistory(history)()
		time.Sleep(TTL + time.Second)
		reads := store.readCount()
		assert.Assert(t, reads > 10 && reads <= 40, "%d reads", reads)
		store.setFault(nil)
		time.Sleep(TTL)
		assert.Equal(t, store.readCount(), reads)
		assert.Assert(t, !history.Missing())
	})
}

// silentStore is a Store that never answers.
type silentStore struct {
	Store
	// asked receives a value for each read.
	asked chan struct{}
}

func (s silentStore) List(ctx context.Context) (Listing, error) {
	signal(s.asked)
	<-ctx.Done()
	return Listing{}, ctx.Err()
}

// Guards against a stop that never ends because it began during a read of the store.
func TestStopDuringAReadOfTheStoreEnds(t *testing.T) {
	const timeout = 20 * time.Second
	store := silentStore{asked: make(chan struct{}, 1)}
	stop := runHistory(newTestHistory("node", store, 0))
	<-store.asked
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop() }()
	select {
	case <-stopped:
	case <-time.After(timeout):
		t.Fatal("Run has not returned")
	}
}
