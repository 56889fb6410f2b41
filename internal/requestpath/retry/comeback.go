package retry

// Weights of the estimate of how many refused callers come back, in callers.
const (
	// assumedReturns is the weight of the assumption that all callers come back. It is small, so that
	// the first tries of callers that never do get their retries after a few refusals.
	assumedReturns = 4
	// maxObservedRefusals is the weight of the observations. Older ones lose weight beyond it.
	maxObservedRefusals = 64
)

// comebackRate estimates the fraction of refused first tries whose callers try again. The zero value
// assumes that all do. It does not tell which call is whose; a caller that comes back counts wherever
// its first try was refused.
type comebackRate struct {
	refused, returned float64
}

func (c *comebackRate) recordRefusal() {
	if c.refused >= maxObservedRefusals {
		c.refused /= 2
		c.returned /= 2
	}
	c.refused++
}

func (c *comebackRate) recordReturn() { c.returned = min(c.returned+1, c.refused) }

// fraction returns the estimate, 0 to 1.
func (c *comebackRate) fraction() float64 {
	return (assumedReturns + c.returned) / (assumedReturns + c.refused)
}
