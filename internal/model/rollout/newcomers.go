package rollout

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// orderSpreadTime is the maximum time that an order takes from a daemon that knows it to all daemons
// that it can reach.
const orderSpreadTime = 200 * time.Millisecond

// NewVersionGate delays the announcement of a new instance whose version is new to its service. That
// version may be subject to an order that other daemons have not read yet, and it would then get
// calls without a bound.
//
// An instance is held back while all of these hold: its service has instances, none of them has its
// version, no known order names the version, and the orders were not confirmed as the newest since
// the instance was first seen. MaxHold limits the delay, so that an outage of the store holds back
// no instance forever.
//
// It is not safe for concurrent use.
type NewVersionGate struct {
	// MaxHold is the maximum time for which an instance is held back.
	MaxHold time.Duration
	// heldSince holds, by name, the time at which each held instance was first seen.
	heldSince map[string]time.Time
}

// GateInputs provides what a daemon knows about other instances and about orders.
type GateInputs struct {
	// Versions returns the versions of the known instances of a service.
	Versions func(service string) map[string]bool
	// Ordered reports whether a known order names a version of a service.
	Ordered func(service, version string) bool
	// Confirmed is when the orders were last confirmed to be the newest.
	Confirmed time.Time
}

// Admit returns the endpoints that may be announced to other daemons now.
func (n *NewVersionGate) Admit(endpoints []*lapisv1.Endpoint, around GateInputs, now time.Time) []*lapisv1.Endpoint {
	admitted := make([]*lapisv1.Endpoint, 0, len(endpoints))
	held := map[string]time.Time{}
	for _, endpoint := range endpoints {
		since, known := n.heldSince[endpoint.GetInstance()]
		if !known {
			since = now
		}
		if n.mustHold(endpoint, around, since, now) {
			held[endpoint.GetInstance()] = since
			continue
		}
		admitted = append(admitted, endpoint)
	}
	n.heldSince = held
	return admitted
}

// Holding reports whether any instance is held back.
func (n *NewVersionGate) Holding() bool { return len(n.heldSince) > 0 }

func (n *NewVersionGate) mustHold(endpoint *lapisv1.Endpoint, around GateInputs, since, now time.Time) bool {
	versions := around.Versions(endpoint.GetService())
	switch {
	case len(versions) == 0 || versions[endpoint.GetVersion()]:
		return false
	case around.Ordered(endpoint.GetService(), endpoint.GetVersion()):
		return false
	case now.Sub(since) >= n.MaxHold:
		return false
	default:
		return !around.Confirmed.After(since) || now.Sub(since) < orderSpreadTime
	}
}
