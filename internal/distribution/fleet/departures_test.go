package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
)

// departuresStore is a departure.Store with one departure beside each daemon. With refused it fails.
type departuresStore struct {
	departure.Store
	reads   *atomic.Int64
	refused bool
}

func (d departuresStore) List(context.Context) (departure.Listing, error) {
	d.reads.Add(1)
	if d.refused {
		return departure.Listing{}, errors.New("refused")
	}
	instances := map[string][]string{}
	for number := range 64 {
		instances[nodeName(number)] = []string{"i-" + nodeName(number)}
	}
	return departure.Listing{Instances: instances}, nil
}

func nodeName(number int) string { return fmt.Sprintf("node-%02d", number) }

// histories are the histories of daemons on one network that are listed in the directory.
type histories struct {
	t       *testing.T
	start   func(Member, ...func(*Config)) *Fleet
	reads   atomic.Int64
	running sync.WaitGroup
}

// runHistories runs test on a network of listed daemons, which are not started.
func runHistories(t *testing.T, count int, test func(h *histories)) {
	var members []Member
	for number := range count {
		members = append(members, numbered(number))
	}
	runDaemons(t, members, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		h := &histories{t: t, start: start}
		test(h)
	})
}

func numbered(number int) Member {
	return memberAt(nodeName(number), fmt.Sprintf("10.0.0.%d:7000", number+1))
}

// run starts a daemon, whose history draws a number from 0 to 1, until ctx ends.
func (h *histories) run(ctx context.Context, number int, draw float64, refused bool) *departure.History {
	store := departuresStore{reads: &h.reads, refused: refused}
	history := departure.NewHistory(nodeName(number), store, func() float64 { return draw }, logr.Discard())
	daemon := h.start(numbered(number), func(config *Config) { config.Departures = history })
	history.OnRead, history.OnReadFailed = daemon.AnswerDepartures, daemon.RequestDepartures
	h.running.Go(func() { history.Run(ctx) })
	return history
}

// Daemons that start together share the reads of the store, and each knows its own departures.
func TestDaemonsThatStartTogetherShareReadsOfDepartures(t *testing.T) {
	const daemons = 16
	runHistories(t, daemons, func(h *histories) {
		ctx, cancel := context.WithCancel(context.Background())
		var started []*departure.History
		for number := range daemons {
			started = append(started, h.run(ctx, number, (float64(number)+0.5)/daemons, false))
		}
		time.Sleep(2 * time.Second)
		for number, history := range started {
			assert.DeepEqual(t, history.Left(), []string{"i-" + nodeName(number)})
		}
		assert.Assert(t, h.reads.Load() <= daemons/4, "%d reads", h.reads.Load())
		cancel()
		h.running.Wait()
	})
}

// A daemon that the store refuses knows its departures by the read of another daemon, which had no need of
// one itself.
func TestDaemonThatTheStoreRefusesUsesTheReadOfAnother(t *testing.T) {
	runHistories(t, 2, func(h *histories) {
		ctx, cancel := context.WithCancel(context.Background())
		h.run(ctx, 0, 0.5, false)
		time.Sleep(time.Minute)
		history := h.run(ctx, 1, 0.5, true)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, history.Left(), []string{"i-" + nodeName(1)})
		cancel()
		h.running.Wait()
	})
}

// The read of another daemon that began before the start of a process says nothing of what an earlier
// process of its daemon acknowledged since.
func TestEarlierReadOfAnotherDaemonIsNotUsed(t *testing.T) {
	runHistories(t, 2, func(h *histories) {
		ctx, cancel := context.WithCancel(context.Background())
		h.run(ctx, 0, 0.5, false)
		time.Sleep(time.Second)
		history := h.run(ctx, 1, 1, true)
		time.Sleep(790 * time.Millisecond)
		assert.Assert(t, history.Missing())
		cancel()
		h.running.Wait()
	})
}
