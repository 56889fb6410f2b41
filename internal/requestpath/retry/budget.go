package retry

import "sync"

// Limits bound the retries of each service. Attempts after a refusal that no instance saw do not
// count.
type Limits struct {
	// Fraction is what each call adds to the bucket of its service, and Burst the bucket's
	// capacity over all daemons that share it, both in retries.
	Fraction, Burst float64
	// Shared is true when Burst is split between all daemons.
	Shared bool
}

// DefaultLimits hold where neither the settings nor the platform state any. At a fraction of 0.1
// the deepest call of a chain of six levels runs at most 1.1^6 = 1.8 times for each call at the top
// (docs/CAPACITY.md).
var DefaultLimits = Limits{Fraction: 0.1, Burst: 10}

// Tunables of the budget.
const (
	// plannedPart is the part of shared limits that daemons plan with; the rest is for what no
	// daemon foresees, such as calls at the edge of the window in which the platform counts.
	plannedPart = 0.9
	// initialPart is the part of its capacity that a service's bucket holds at its first call. It
	// is above 0, so that a daemon that has just started retries.
	initialPart = 0.5
	// maxDebt is the number of retries that Charge may take out in advance. After that many a
	// service is not retried for maxDebt/Fraction calls.
	maxDebt = 50
)

// Budget is a token bucket for each service, whose tokens are retries. It fills with calls
// and not with time, so that a machine that was suspended has saved up nothing. It is safe
// for concurrent use.
type Budget struct {
	// mutex protects everything below.
	mutex   sync.Mutex
	limits  Limits
	daemons int
	tokens  map[string]float64
}

// NewBudget returns a budget that this daemon shares with no other.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, daemons: 1, tokens: map[string]float64{}}
}

// SetLimits replaces the limits; what was saved up stays.
func (b *Budget) SetLimits(limits Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
}

// ShareAmong sets the number of daemons that shared limits are split between; less than one
// counts as one.
func (b *Budget) ShareAmong(daemons int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.daemons = max(daemons, 1)
}

// Earn adds Fraction for one call of a service. It is called once, before its first attempt.
func (b *Budget) Earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	capacity := b.capacity()
	tokens, known := b.tokens[service]
	if !known {
		tokens = initialPart * capacity
	}
	b.tokens[service] = min(tokens+b.fraction(), capacity)
}

// Spend takes out one retry of a service; it reports false and takes none when less is left.
func (b *Budget) Spend(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// Charge takes a retry out that this daemon did not decide on: a call made by a run that is
// itself a repeat. Without it a service that another one calls got 1,700 repeats in ten seconds
// of 1,606 allowed (one run, the answers of both services lost by half).
func (b *Budget) Charge(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service] = max(b.tokens[service]-1, -maxDebt)
}

// Left returns the retries that a service has saved up; negative while it is in debt.
func (b *Budget) Left(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens[service]
}

// capacity is this daemon's part of the capacity; the caller holds mutex.
func (b *Budget) capacity() float64 {
	if !b.limits.Shared {
		return b.limits.Burst
	}
	return plannedPart * b.limits.Burst / float64(b.daemons)
}

// fraction is what each call adds; the caller holds mutex.
func (b *Budget) fraction() float64 {
	if !b.limits.Shared {
		return b.limits.Fraction
	}
	return plannedPart * b.limits.Fraction
}
