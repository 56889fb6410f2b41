package rollout

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// spreadTime is how long orders take at most to reach the daemons that are in touch with one that
// knows them.
const spreadTime = 200 * time.Millisecond

// Newcomers is the rule of when a daemon tells others of an instance beside it whose version is new
// to its service. A version may be rolled out by an order that daemons have not read yet, and would
// get calls without a bound.
//
// Inputs: the instances beside the daemon, the versions known of their services, the versions that
// orders known here name, when orders were last confirmed to be the newest, the time. An instance
// is held back while its service has instances, none of its version, no order known here names it,
// and orders were not confirmed since it was first seen here. Longest bounds the wait, so that an
// outage of the store holds back nothing for good.
//
// It is not safe for concurrent use.
type Newcomers struct {
	// Longest is how long an instance is held back at most.
	Longest time.Duration
	// seen gives when each instance held back was first seen, by its name.
	seen map[string]time.Time
}

// Surroundings is what a daemon knows beside the instances of its own.
type Surroundings struct {
	// Versions returns the versions of the instances known of a service.
	Versions func(service string) map[string]bool
	// Ordered reports whether an order known here names a version of a service.
	Ordered func(service, version string) bool
	// Confirmed is when orders were last confirmed to be the newest.
	Confirmed time.Time
}

// Admit returns the endpoints that may be told to others now.
func (n *Newcomers) Admit(endpoints []*lapisv1.Endpoint, around Surroundings, now time.Time) []*lapisv1.Endpoint {
	admitted := make([]*lapisv1.Endpoint, 0, len(endpoints))
	held := map[string]time.Time{}
	for _, endpoint := range endpoints {
		since, known := n.seen[endpoint.GetInstance()]
		if !known {
			since = now
		}
		if n.holds(endpoint, around, since, now) {
			held[endpoint.GetInstance()] = since
			continue
		}
		admitted = append(admitted, endpoint)
	}
	n.seen = held
	return admitted
}

// Holding reports whether an instance is held back.
func (n *Newcomers) Holding() bool { return len(n.seen) > 0 }

func (n *Newcomers) holds(endpoint *lapisv1.Endpoint, around Surroundings, since, now time.Time) bool {
	versions := around.Versions(endpoint.GetService())
	switch {
	case len(versions) == 0 || versions[endpoint.GetVersion()]:
		return false
	case around.Ordered(endpoint.GetService(), endpoint.GetVersion()):
		return false
	case now.Sub(since) >= n.Longest:
		return false
	default:
		return !around.Confirmed.After(since) || now.Sub(since) < spreadTime
	}
}
