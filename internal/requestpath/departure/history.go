package departure

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// History knows which instances beside this daemon left while earlier processes of the daemon ran. It
// is complete once a read of the store is known that began after the start of this process: one of its
// own, or one of another daemon (Offer).
//
// Create it with NewHistory at the start of the process. The exported fields may be set before Run.
type History struct {
	// OnRead is called after each successful read by this daemon, after which Answer may have an answer
	// for more daemons. OnReadFailed is called after each failed one while the history is incomplete.
	// Both must not block.
	OnRead, OnReadFailed func()

	node   string
	store  Store
	logger logr.Logger
	// startedAt and the other times of this type are those of boottime, because other daemons keep
	// running while this machine is suspended.
	startedAt time.Time
	calls     *rate.Limiter
	// completed is closed once left is complete, and wake wakes Run.
	completed chan struct{}
	wake      chan struct{}

	// mutex protects the fields below.
	mutex sync.Mutex
	// left holds the instances that left; nil until it is complete. restored is true if the read may lack some
	// (Listing.RestoredLately).
	left     map[string]bool
	restored bool
	// reads is the plan of the reads.
	reads plan
	// attempt is closed and replaced after each failed read, whose error is lastErr.
	attempt chan struct{}
	lastErr error
	// listing is the result of the last successful read by this daemon, which began at listedAt.
	listing  Listing
	listedAt time.Time
}

// NewHistory returns the history of a daemon whose process has just started. random returns numbers
// from 0 to 1.
func NewHistory(node string, store Store, random func() float64, logger logr.Logger) *History {
	now := boottime.Exact()
	return &History{
		OnRead: func() {}, OnReadFailed: func() {},
		node: node, store: store, logger: logger, startedAt: now, calls: rate.NewLimiter(CallsPerSecond, CallBurst),
		completed: make(chan struct{}), wake: make(chan struct{}, 1), attempt: make(chan struct{}),
		reads: newPlan(now, random),
	}
}

// Run reads the store when a read is due, until ctx ends.
func (h *History) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		wait, due := h.nextRead()
		if due && wait <= 0 {
			h.read(ctx)
			continue
		}
		if due {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		case <-timer.C:
		}
	}
}

// nextRead returns the time until the next read; due is false if none is planned.
func (h *History) nextRead() (wait time.Duration, due bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, due := h.reads.next(h.left != nil, h.startedAt)
	return boottime.Until(at), due
}

// read reads the store once.
func (h *History) read(ctx context.Context) {
	began := boottime.Exact()
	listing, err := h.list(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		h.recordFailure(err, began)
		return
	}
	h.mutex.Lock()
	h.reads.succeeded()
	h.listing, h.listedAt = listing, began
	h.mutex.Unlock()
	own, _ := listing.of(h.node)
	h.complete(own, listing.RestoredLately, byStore, began.Sub(h.startedAt))
	h.OnRead()
}

func (h *History) list(ctx context.Context) (Listing, error) {
	if !h.calls.Allow() {
		return Listing{}, ErrTooManyCalls
	}
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	return h.store.List(ctx)
}

// ErrTooManyCalls is the error of a call beyond CallsPerSecond.
var ErrTooManyCalls = result.Errorf(result.PlatformUnavailable, "too many calls for departures")

// byStore is the origin of a read by this daemon, for the log.
const byStore = "store"

func (h *History) recordFailure(err error, began time.Time) {
	h.mutex.Lock()
	incomplete := h.left == nil
	h.reads.failed(boottime.Now())
	h.lastErr = err
	close(h.attempt)
	h.attempt = make(chan struct{})
	h.mutex.Unlock()
	h.logger.Info("departures.not_read", "uptime_ms", began.Sub(h.startedAt).Milliseconds(), "complete", !incomplete, "error", err)
	if incomplete {
		h.OnReadFailed()
	}
}

// complete records the result of a read that began at the uptime readAt, or later. restored is
// Listing.RestoredLately. by is the name of the daemon that made it, or byStore.
func (h *History) complete(instances []string, restored bool, by string, readAt time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.left != nil {
		return
	}
	h.left, h.restored = map[string]bool{}, restored
	for _, instance := range instances {
		h.left[instance] = true
	}
	h.logger.Info("departures.known", "by", by, "instances", len(instances), "uptime_ms", boottime.Since(h.startedAt).Milliseconds(),
		"read_at_ms", readAt.Milliseconds(), "restored", restored)
	close(h.completed)
	signal(h.wake)
}

// signal wakes the goroutine that waits on channel, without blocking.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Completed returns a channel that is closed once the history is complete.
func (h *History) Completed() <-chan struct{} { return h.completed }

// Left returns the instances that left; nil before the history is complete.
func (h *History) Left() (instances []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for instance := range h.left {
		instances = append(instances, instance)
	}
	return instances
}

// MayLack reports whether departures may be missing from Left because the store has lost them.
func (h *History) MayLack() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.restored
}

// IsDoubtful reports whether departures may be missing that other daemons have not had the time to name.
func (h *History) IsDoubtful() bool { return h.MayLack() && h.Uptime() < doubtPeriod }

// ErrRestored is the reason for which a heartbeat of an unknown instance doesn't register it while the history is
// doubtful.
var ErrRestored = result.Errorf(result.PlatformUnavailable, "the store was restored from a backup and may lack departures")

// Await waits until the history is complete, for at most StoreTimeout and not beyond a failed read. It
// makes a read due soon. The error says why the history is not complete.
func (h *History) Await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	h.mutex.Lock()
	attempt := h.attempt
	if h.left == nil {
		h.reads.awaited(boottime.Now())
	}
	h.mutex.Unlock()
	signal(h.wake)
	select {
	case <-h.completed:
		return nil
	case <-attempt:
		h.mutex.Lock()
		defer h.mutex.Unlock()
		return h.lastErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Missing reports whether the history is incomplete and still of use.
func (h *History) Missing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.left == nil && IsRequired(h.Uptime())
}

// Uptime returns the time since the start of this process.
func (h *History) Uptime() time.Duration { return boottime.Exact().Sub(h.startedAt) }

// Offer passes what a read by another daemon found of the instances beside this one. The read began at the
// uptime readAt of this process or later; it is ignored if that may have been before the start. restored is
// Listing.RestoredLately.
func (h *History) Offer(readAt time.Duration, instances []string, restored bool, from string) {
	if readAt >= 0 {
		h.complete(instances, restored, from, readAt)
	}
}

// Answer returns what the last read by this daemon found of the instances beside another daemon, whose
// request arrived at askedAt and states that its process had run for uptime. readAt is the uptime of that
// process when the read began, or an earlier one, because the request took some time. restored is
// Listing.RestoredLately. known is false if there is no read that surely began after the start of that process and is
// complete for its daemon.
func (h *History) Answer(node string, askedAt time.Time, uptime time.Duration) (instances []string, readAt time.Duration, restored, known bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.listedAt.IsZero() {
		return nil, 0, false, false
	}
	readAt = uptime + h.listedAt.Sub(askedAt)
	instances, complete := h.listing.of(node)
	// A read that began at the same moment may have missed a departure that was stored right after it.
	return instances, readAt, h.listing.RestoredLately, complete && readAt > 0
}

// RequestRead makes a read due for another daemon, which could not read the store itself.
func (h *History) RequestRead() {
	h.mutex.Lock()
	h.reads.requested(boottime.Now())
	h.mutex.Unlock()
	signal(h.wake)
}
