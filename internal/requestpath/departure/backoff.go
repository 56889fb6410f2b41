package departure

import "time"

const (
	// retryMin and retryMax limit the wait after a failed call of the store that no instance waits for. It
	// doubles from the one to the other.
	retryMin = time.Second
	retryMax = 30 * time.Second
	// retryJitter is the part of that wait that is random, so that daemons that met a failure together do
	// not call together.
	retryJitter = 0.5
)

// Backoff yields the waits between failed calls. The zero value is ready to use.
type Backoff struct{ last time.Duration }

// Next returns the wait after a further failure; random is from 0 to 1.
func (b *Backoff) Next(random float64) time.Duration {
	b.last = min(max(2*b.last, retryMin), retryMax)
	return time.Duration((1 - retryJitter*random) * float64(b.last))
}
