package gateway

import "sync"

// Tunables of retries.
const (
	// maxAttempts bounds the attempts at one call on one daemon.
	maxAttempts = 3
	// retryFraction of the calls of a service may be retries.
	retryFraction = 0.1
	// retryBurst is the number of retries that may be saved up.
	retryBurst = 10
)

// retryBudget bounds the retries of each service to a fraction of its calls.
type retryBudget struct {
	mutex  sync.Mutex
	tokens map[string]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: map[string]float64{}} }

// earn notes one call.
func (b *retryBudget) earn(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	tokens, known := b.tokens[service]
	if !known {
		tokens = retryBurst / 2
	}
	b.tokens[service] = min(tokens+retryFraction, retryBurst)
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
