package tree

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an end of the process by an interval of which no part is left for the jitter.
func TestJitterOfShortIntervals(t *testing.T) {
	for _, interval := range []time.Duration{1, 4, 9, 10, time.Second, 1 << 62} {
		for range 100 {
			waited := jittered(interval)
			assert.Assert(t, waited >= interval-interval/jitterDivisor && waited <= interval+interval/jitterDivisor, "%s for %s", waited, interval)
		}
	}
}
