package rollout

import (
	"time"
)

// Phase is how far a roll-out is as daemons tell each other. Of two the greater holds.
type Phase uint32

// Word is what a daemon tells every other one of a roll-out. It always holds the whole
// of it, so that the newest one is enough.
type Word struct {
	Service     string
	Node        string
	Incarnation uint64
	// Sequence rises with each word of the incarnation.
	Sequence uint64
	Order    Identity
	// Age is how long ago the order was given, as far as the daemon knows: the store
	// does not say.
	Age   time.Duration
	Phase Phase
	// Shifting is how long ago the shift began, 0 before it: the daemons move together,
	// also one that hears of it late.
	Shifting time.Duration
	// Probed are the instances that a decider has everyone probe.
	Probed []Probe
	// Holding is true while a decider has everyone keep its share in the shift, because what it
	// knows may become a conviction.
	Holding bool
	// Diverted is true once the daemon sends nothing to the old version and will not
	// again unless the store says that the order is rolled back or gone; Drained once
	// nothing is in flight there either.
	Diverted, Drained bool
}

// Probe is an instance that is probed, with the daemon beside it.
type Probe struct{ Instance, Node string }

// View is what a daemon knows at a moment.
type View struct {
	Now time.Time
	// Members are the daemons in touch, this one among them.
	Members []string
	// Known is the number of all daemons that are known to run, in touch or not.
	Known int
	// New are the instances of the version ordered, Warm those of them that are not
	// cold; Old is the number of instances of other versions that are not barred.
	New, Warm []string
	Old       int
	// Nodes gives the daemon beside each of the instances in Warm, and Serving is the number of
	// daemons that are known to run an instance of the service.
	Nodes   map[string]string
	Serving int
	// Barred are the versions of earlier orders that came to nothing.
	Barred []string
	// Settled is true once this daemon has had the time to hear of all instances.
	Settled bool
	// OldInFlight is the number of calls in flight at old instances.
	OldInFlight int
	// StoreAnswered is when the store last answered this daemon.
	StoreAnswered time.Time
}

// Decision is what follows from a view.
type Decision struct {
	Steps      []Step
	Allocation Allocation
	// Write is to be sent now; nil for none.
	Write *Write
	// Ask is true when the store is to be asked for the order now, because a step waits
	// for a newer answer of it.
	Ask bool
	// Word is to be told to all daemons, and the evidence to the Deciders.
	Word     Word
	Deciders []string
}

// sole reports whether the version ordered is the only one there is.
func (v View) sole() bool { return v.Settled && v.Old == 0 && len(v.New) > 0 }

// majority reports whether more than half of all daemons are in touch: a daemon that is
// cut off from them does not decide for them.
func (v View) majority() bool { return 2*len(v.Members) > v.Known }

// earlier returns the earlier of two times; the first may be zero, which is none.
func earlier(known, heard time.Time) time.Time {
	if known.IsZero() || heard.Before(known) {
		return heard
	}
	return known
}

// ofVersion estimates how many instances the new version has, where daemons are known whose
// instances are not.
func (v View) ofVersion() int {
	known := len(v.Warm) + v.Old
	if known == 0 {
		return 0
	}
	return max(len(v.Warm), len(v.Warm)*v.Serving/known)
}
