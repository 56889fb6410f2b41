package retry

import "sync"

// Limits bound the retries of each service. Attempts after a refusal do not count if no instance
// saw the call.
type Limits struct {
	// Fraction is the number of retries that each call adds to the bucket of its service. Burst is
	// the capacity of the bucket, in retries, over all daemons that share it.
	Fraction, Burst float64
	// Shared is true if Burst is divided among all daemons.
	Shared bool
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
)

// Budget is a token bucket for each service, where a token is one retry. It is filled by calls and
// not by time, so that a machine accumulates no retries while it is suspended. It is safe for
// concurrent use.
type Budget struct {
	// mutex protects everything below.
	mutex   sync.Mutex
	limits  Limits
	daemons int
	tokens  map[string]float64
}

// NewBudget returns a budget that is not shared with other daemons.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, daemons: 1, tokens: map[string]float64{}}
}

// SetLimits replaces the limits. The tokens in the buckets are kept.
func (b *Budget) SetLimits(limits Limits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
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
func (b *Budget) Earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	capacity := b.capacity()
	tokens, known := b.tokens[service]
	if !known {
		tokens = initialFillFraction * capacity
	}
	b.tokens[service] = min(tokens+b.fraction(), capacity)
}

// Spend removes one retry of a service. It returns false and removes nothing if less than one is
// left.
func (b *Budget) Spend(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// Charge removes a retry that this daemon did not decide on: a call that is made by a run that is
// itself a retry. Without it, a service called by another service received 1,700 retries in ten
// seconds when 1,606 were allowed (one run in which half of the answers of both services were
// lost).
func (b *Budget) Charge(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service] = max(b.tokens[service]-1, -maxDebt)
}

// Remaining returns the number of retries that a service has left, negative while it is in debt.
func (b *Budget) Remaining(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens[service]
}

// capacity returns this daemon's share of the bucket capacity. The caller must hold mutex.
func (b *Budget) capacity() float64 {
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
