package gateway

import "sync"

// defaultMaxAttempts bounds the back ends that one call may be handed to where
// its route does not say.
const defaultMaxAttempts = 3

// RetryLimits bound the retries of each service on this daemon. Only attempts
// after which a back end may have seen the call count; going elsewhere after a
// refusal by the daemon beside it costs the back end nothing.
type RetryLimits struct {
	// Fraction of the calls of a service may be retries.
	Fraction float64
	// Burst is the number of retries that may be saved up, over all daemons
	// that share it.
	Burst float64
	// Shared is true when Burst is split between all daemons.
	Shared bool
}

// DefaultRetryLimits hold where nothing else is set.
var DefaultRetryLimits = RetryLimits{Fraction: 0.1, Burst: 10}

// Tunables of the budget.
const (
	// planned is the part of the limits that is planned with, so that what no
	// daemon can foresee, such as calls at the edge of a window, stays within
	// them.
	planned = 0.9
	// maxDebt bounds what calls of repeated runs may take out of the budget in
	// advance.
	maxDebt = 50
)

// retryBudget bounds the retries of each service to a fraction of its calls.
type retryBudget struct {
	// mutex protects everything below.
	mutex   sync.Mutex
	limits  RetryLimits
	sharers int
	tokens  map[string]float64
}

func newRetryBudget(limits RetryLimits) *retryBudget {
	return &retryBudget{limits: limits, sharers: 1, tokens: map[string]float64{}}
}

// limit replaces the bounds; what was saved up stays.
func (b *retryBudget) limit(limits RetryLimits) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limits = limits
}

// share notes the number of daemons that the burst is split between.
func (b *retryBudget) share(daemons int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sharers = max(daemons, 1)
}

// burst is this daemon's part; the caller holds mutex.
func (b *retryBudget) burst() float64 {
	if !b.limits.Shared {
		return b.limits.Burst
	}
	return planned * b.limits.Burst / float64(b.sharers)
}

// fraction is the part of the calls that may be retries; the caller holds mutex.
func (b *retryBudget) fraction() float64 {
	if !b.limits.Shared {
		return b.limits.Fraction
	}
	return planned * b.limits.Fraction
}

// earn notes one call.
func (b *retryBudget) earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	burst := b.burst()
	tokens, known := b.tokens[service]
	if !known {
		tokens = burst / 2
	}
	b.tokens[service] = min(tokens+b.fraction(), burst)
}

// spend takes one retry out of the budget; it reports false when there is none.
func (b *retryBudget) spend(service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// charge notes a call that is a repeat although this daemon did not decide so: a
// run that was repeated made it. It is taken out of what may be retried here.
func (b *retryBudget) charge(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service] = max(b.tokens[service]-1, -maxDebt)
}

// left returns the retries that a service has saved up.
func (b *retryBudget) left(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tokens[service]
}
