package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Outlier detection: an instance with several consecutive failures to connect, or interrupted
// answers, is ejected for a time that doubles with each further failure. Any answer resets the
// count, including an error answered by the instance itself. Such an error only raises the cost
// (cost.go), because an instance that fails 40 calls in 100 answers too often to be ejected.
const (
	// ejectThreshold is the number of consecutive failures that ejects an instance. It is above 1,
	// so that a single broken connection does not eject an instance.
	ejectThreshold = 3
	// baseEjection and maxEjection bound the duration of an ejection. baseEjection must be longer than
	// the time for which a failed dial is cached (package callmux, 200 ms), or the first call after
	// the ejection would only get the cached failure.
	baseEjection = time.Second
	maxEjection  = 30 * time.Second
	// maxEjectionDoublings bounds the number of doublings, so that the shift does not overflow. The
	// duration reaches maxEjection before this bound.
	maxEjectionDoublings = 10
	// maxHealthyFailureRate is the failure rate, 0 to 1, below which an instance counts as healthy
	// in MajorityHealthy. It is above 0, because a decayed failure rate never quite reaches 0, and far
	// below the 0.4 of an instance that fails part of its calls (docs/design/0012).
	maxHealthyFailureRate = 0.1
)

// ejectionDuration returns how long an instance is ejected after the given number of consecutive
// failures; 0 means that it is not ejected.
func ejectionDuration(failures int) time.Duration {
	if failures < ejectThreshold {
		return 0
	}
	return min(baseEjection<<min(failures-ejectThreshold, maxEjectionDoublings), maxEjection)
}

// majorityHealthy reports whether more than half of the instances are healthy.
func majorityHealthy(healthy, total int) bool { return 2*healthy > total }

// isUnhealthy reports whether an instance should receive calls only if no healthy one is left: its
// own heartbeats or those of its daemon are missing, or this daemon ejected it.
func isUnhealthy(state lapisv1.Endpoint_State, ejected bool) bool {
	return state == lapisv1.Endpoint_STATE_SUSPECT || ejected
}
