package rollout

import (
	"time"
)

// Phase is the progress of a roll-out as announced between daemons. The highest phase takes
// precedence.
type Phase uint32

// Announcement is the state of a roll-out that a daemon announces to all others. Each announcement
// holds the whole state, so that only the newest one is needed.
type Announcement struct {
	Service     string
	Node        string
	Incarnation uint64
	// Sequence increases with each announcement of the incarnation.
	Sequence uint64
	Order    Identity
	// Age is the time since the order was given, as far as the daemon knows. The store does not
	// record it.
	Age   time.Duration
	Phase Phase
	// Shifting is the time since the start of the shift, 0 before it. It lets a daemon that learns
	// of the shift late move its calls in step with the others.
	Shifting time.Duration
	// Probed holds the instances that a decider selects for all daemons to probe.
	Probed []Probe
	// Holding is true while a decider requires all daemons to keep their share during the shift,
	// because the verdict is suspicious.
	Holding bool
	// Diverted is true once the daemon sends no calls to the old version. It does so again only if
	// the store holds the order as rolled back or deleted. Drained is true once no calls are in
	// flight there either.
	Diverted, Drained bool
}

// Probe is a probed instance and the daemon next to it.
type Probe struct{ Instance, Node string }

// View holds the inputs of a decision: what a daemon knows at one point in time.
type View struct {
	Now time.Time
	// Members holds the reachable daemons, including this one.
	Members []string
	// Known is the number of all daemons known to run, reachable or not.
	Known int
	// New holds the instances of the ordered version, and Warm those of them that are not cold. Old
	// is the number of instances of other versions that are not barred.
	New, Warm []string
	Old       int
	// Nodes maps each instance in Warm to the daemon next to it. Serving is the number of daemons
	// known to run an instance of the service.
	Nodes   map[string]string
	Serving int
	// Barred holds the versions of earlier orders that ended without completion.
	Barred []string
	// InstancesKnown is true once this daemon has had the time to learn of all instances.
	InstancesKnown bool
	// OldInFlight is the number of calls in flight at instances of other versions.
	OldInFlight int
	// StoreAnswered is when the store last answered this daemon.
	StoreAnswered time.Time
}

// Decision is the result of one tick.
type Decision struct {
	Steps      []Step
	Allocation Allocation
	// Write is the write to be sent now, or nil.
	Write *Write
	// Ask is true if the store must be queried for the order now, because a step requires a newer
	// answer.
	Ask bool
	// Announcement is to be sent to all daemons, and the evidence to the Deciders.
	Announcement Announcement
	Deciders     []string
}

// sole reports whether only the ordered version has instances.
func (v View) sole() bool { return v.InstancesKnown && v.Old == 0 && len(v.New) > 0 }

// hasMajority reports whether more than half of all daemons are reachable. A daemon that is cut off
// from the majority does not decide for it.
func (v View) hasMajority() bool { return 2*len(v.Members) > v.Known }

// earlier returns the earlier of two times; a zero known counts as unset.
func earlier(known, heard time.Time) time.Time {
	if known.IsZero() || heard.Before(known) {
		return heard
	}
	return known
}

// estimatedInstances estimates the number of the new version's instances. It scales the known number
// by Serving, because a daemon may be known before its instances are.
func (v View) estimatedInstances() int {
	known := len(v.Warm) + v.Old
	if known == 0 {
		return 0
	}
	return max(len(v.Warm), len(v.Warm)*v.Serving/known)
}
