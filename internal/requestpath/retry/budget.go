package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Limits bound the retries of each service. Attempts after a refusal do not count if no instance
// saw the call.
type Limits struct {
	// Fraction is the number of retries that each call adds to the bucket of its service. Burst is
	// the capacity of the bucket, in retries, over all daemons that share it.
	Fraction, Burst float64
	// Shared is true if Burst is divided among all daemons.
	Shared bool
	// Window is the length of the intervals in which the platform counts calls and retries of all
	// daemons: in each of them there may be Fraction retries a call, and Burst more. A bucket then
	// also holds what the most recent calls have earned. If Window is 0, it holds no more than this
	// daemon's share of Burst.
	Window time.Duration
}

// DefaultLimits apply if neither the settings nor the platform set limits. With a fraction of 0.1,
// the deepest call of a chain of six levels runs at most 1.1^6 = 1.8 times for each call at the top
// (docs/CAPACITY.md).
var DefaultLimits = Limits{Fraction: 0.1, Burst: 10}

// Parameters of the budget.
const (
	// plannedFraction is the fraction of shared limits that daemons use. The rest is a reserve for
	// effects that no daemon sees, such as calls at the edge of the window in which the platform
	// counts.
	plannedFraction = 0.9
	// initialFillFraction is the fraction of its capacity that a bucket holds at the first call of
	// its service. It is above 0, so that a daemon can retry right after its start.
	initialFillFraction = 0.5
	// maxDebt is the maximum number of retries that Charge can remove beyond an empty bucket. A
	// service that is fully in debt is not retried for maxDebt/Fraction calls.
	maxDebt = 50
	// maxReservedFraction is the fraction of the retries of a window that is kept for last tries if
	// all refused callers come back. The rest is for first tries, because a refusal costs their
	// callers time even if they are served later.
	maxReservedFraction = 0.75
)

// maxSaved is the number of retries that a bucket with a window may hold of what the calls of the
// whole window have earned. It is above 1, or daemons with few calls would hardly ever have one, and
// small beside the retries of a window, which are not to be spent at once.
const maxSaved = 2

// Try tells whether the caller of a call is expected to come back after a refusal.
type Try int

const (
	// FirstTry is a call whose caller may come back after a refusal.
	FirstTry Try = iota
	// LastTry is a call whose caller has come back already, or that is made by a running request,
	// which fails with it. A retry saves it more often than a first try, which has another chance
	// without one.
	LastTry
)

// Budget is a token bucket for each service, where a token is one retry. It is filled by calls and
// not by time, so that a machine accumulates no retries while it is suspended. It is safe for
// concurrent use.
//
// What a daemon's own calls earn needs no agreement with other daemons, because the calls of all
// daemons add up to those of the fleet. Only Burst is shared. The sum over all daemons therefore
// keeps to the limits at any size of the fleet.
type Budget struct {
	random func() float64
	// mutex protects everything below.
	mutex   sync.Mutex
	limits  Limits
	daemons int
	buckets map[string]*bucket
}

// bucket holds the retries of one service. window and rounding are used if Limits.Window is set.
type bucket struct {
	tokens    float64
	window    *slidingWindow
	rounding  roundingOffset
	comebacks comebackRate
}

// NewBudget returns a budget that is not shared with other daemons.
func NewBudget(limits Limits) *Budget {
	return &Budget{random: rand.Float64, limits: limits, daemons: 1, buckets: map[string]*bucket{}}
}

// SetLimits replaces the limits. The tokens in the buckets are kept; the counts of a window are
// lost if its length changes.
func (b *Budget) SetLimits(limits Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if limits.Window != b.limits.Window {
		for _, bucket := range b.buckets {
			bucket.window = limits.newWindow()
		}
	}
	b.limits = limits
}

// ShareAmong sets the number of daemons that shared limits are divided among. A value below one
// counts as one.
func (b *Budget) ShareAmong(daemons int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.daemons = max(daemons, 1)
}

// Earn adds Fraction for one call of a service. It must be called once per call, before the first
// attempt.
func (b *Budget) Earn(service string, try Try) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current, known := b.buckets[service]
	if !known {
		current = &bucket{tokens: initialFillFraction * b.burstShare(), window: b.limits.newWindow()}
		b.buckets[service] = current
	}
	if try == LastTry {
		current.comebacks.recordReturn()
	}
	capacity := b.burstShare()
	if current.window != nil {
		now := boottime.Now()
		slot := current.window.slotAt(now)
		slot.calls++
		capacity = b.windowCapacity(current.window, now)
	}
	current.tokens = min(current.tokens+b.fraction(), capacity)
}

// Spend removes one retry of a service. It returns false and removes nothing if less than one is
// left for calls of this kind.
func (b *Budget) Spend(service string, try Try) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current, known := b.buckets[service]
	if !known {
		return false
	}
	if b.available(current, try) < 1 {
		if try == FirstTry {
			current.comebacks.recordRefusal()
		}
		return false
	}
	current.tokens--
	current.record(try)
	return true
}

// Charge removes a retry that this daemon did not decide on: a call that is made by a run that is
// itself a retry. Without it, a service called by another service received 1,700 retries in ten
// seconds when 1,606 were allowed (one run in which half of the answers of both services were
// lost).
func (b *Budget) Charge(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current, known := b.buckets[service]
	if !known {
		current = &bucket{window: b.limits.newWindow()}
		b.buckets[service] = current
	}
	current.tokens = max(current.tokens-1, -maxDebt)
	current.record(LastTry)
}

// Remaining returns the number of retries that a service has left, negative while it is in debt.
func (b *Budget) Remaining(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if current, known := b.buckets[service]; known {
		return current.tokens
	}
	return 0
}

// available returns how many retries calls of a kind may make now. The caller must hold mutex.
func (b *Budget) available(current *bucket, try Try) float64 {
	if current.window == nil {
		return current.tokens
	}
	now := boottime.Now()
	counts := current.window.counts(now)
	allowed := b.allowed(counts)
	left := min(current.tokens, allowed-float64(counts.retries()))
	if try == FirstTry {
		reserved := maxReservedFraction * allowed * current.comebacks.fraction()
		left = min(left, allowed-reserved-float64(counts.firstTryRetries))
	}
	return left + current.rounding.at(now, b.limits.Window, b.random)
}

// allowed returns the number of retries in a window with the given counts. The caller must hold
// mutex.
func (b *Budget) allowed(counts windowCounts) float64 {
	return b.burstShare() + b.fraction()*float64(counts.calls)
}

// windowCapacity returns how many tokens a bucket with a window may hold: its share of the burst and
// what the most recent calls have earned, so that the retries of a window are not all made at its
// beginning. The calls of repeated runs, which Charge counts, come afterwards and cannot be refused:
// with the earnings of a whole window saved up, a service that is called by another one received
// 1,773 repeats in ten seconds when 1,768 were allowed. The caller must hold mutex.
func (b *Budget) windowCapacity(window *slidingWindow, now time.Time) float64 {
	recent := b.burstShare() + b.fraction()*float64(window.recentCalls(now))
	return max(recent, min(b.allowed(window.counts(now)), maxSaved))
}

// burstShare returns this daemon's share of Burst. The caller must hold mutex.
func (b *Budget) burstShare() float64 {
	if !b.limits.Shared {
		return b.limits.Burst
	}
	return plannedFraction * b.limits.Burst / float64(b.daemons)
}

// fraction returns the number of retries that each call adds. The caller must hold mutex.
func (b *Budget) fraction() float64 {
	if !b.limits.Shared {
		return b.limits.Fraction
	}
	return plannedFraction * b.limits.Fraction
}

// newWindow returns the window of one service, nil if the limits have none.
func (l Limits) newWindow() *slidingWindow {
	if l.Window <= 0 {
		return nil
	}
	return newSlidingWindow(l.Window)
}

// record counts a retry in the window.
func (b *bucket) record(try Try) {
	if b.window == nil {
		return
	}
	slot := b.window.slotAt(boottime.Now())
	if try == LastTry {
		slot.lastTryRetries++
	} else {
		slot.firstTryRetries++
	}
}
