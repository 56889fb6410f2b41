package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// JoinVerdict is the decision on a joining child.
type JoinVerdict int

// Verdicts.
const (
	// JoinAccepted accepts the child.
	JoinAccepted JoinVerdict = iota
	// JoinDetached refuses because the parent has no path to a reader or is shutting down.
	JoinDetached
	// JoinLoop refuses because the child is above the parent.
	JoinLoop
	// JoinTooDeep refuses because the tree would exceed its depth.
	JoinTooDeep
	// JoinForeign refuses a child of another zone, which only readers with room accept.
	JoinForeign
	// JoinReadersFirst refuses a child that should ask the zone's readers first.
	JoinReadersFirst
	// JoinFull refuses because the parent has enough children.
	JoinFull
	// JoinTooFast refuses because the parent admits no more children at this moment.
	// DecideJoin does not return it: the caller's rate limiter decides.
	JoinTooFast
)

const (
	// ForeignExtra is the number of children of other zones that a reader accepts beyond
	// its fan-out. A zone that lost both readers had up to 48 daemons directly below
	// them, and the six other readers of four zones had room for 8 each. With this value,
	// and a first query of the object API after 1 s instead of 3 s, two restarts of 30% of
	// 400 daemons took 622 to 1138 ms instead of 4312 and 3124 ms (all daemons on one
	// machine of 8 cores). No other value was measured.
	ForeignExtra = 24
	// patience is the number of refusals after which a child is accepted without having been sent
	// by another daemon: the readers are likely out of its reach. It must be larger than the
	// readers of a zone (2), so that each of them is asked first.
	patience = 6
)

// Parent is what DecideJoin needs to know of the daemon that a child wants to join.
type Parent struct {
	Zone string
	// Reader is true while it holds a seat.
	Reader bool
	// Stopping is true after a planned stop began.
	Stopping bool
	// Path is the names from the root to the daemon, itself included; empty when it has
	// no path to a reader. It is as old as the last heartbeat of its own parent.
	Path []string
	// Children is the number of children connected now.
	Children int
	// KnowsReaders is true when the daemon can name readers of its zone.
	KnowsReaders bool
	// Fanout is the largest number of children, MaxDepth the largest number of levels
	// below a reader.
	Fanout, MaxDepth int
}

// Joiner is a daemon that wants to join, as its Hello describes it.
type Joiner struct {
	Node, Zone string
	// Depth is the number of levels below it.
	Depth int
	// Known is true when it is a child already and reconnects.
	Known bool
	// Redirected is true when another daemon named the parent.
	Redirected bool
	// Refusals counts the daemons that did not accept it since its last parent.
	Refusals int
}

// DecideJoin returns the verdict on joiner. The conditions are looked at in this
// order, and the first that holds decides:
//
//  1. A parent that is stopping or has no path to a reader has nothing to pass on.
//  2. A joiner on the parent's path would close a loop.
//  3. The depth stays bounded, because each level adds to the convergence time.
//  4. A joiner of another zone is accepted by readers only, and by them up to
//     ForeignExtra beyond the fan-out, so that a change crosses zones once.
//  5. A joiner of the own zone asks the readers first, so that the tree fills from the
//     top: after a restart of many daemons 9 levels became 6, and the p99 of the
//     convergence time went from 235 to 133 ms (506 daemons in 19 zones on one machine
//     of 8 cores).
//  6. A full parent refuses. One that the joiner belongs to already does not, so that
//     a short loss of the connection moves nobody.
func DecideJoin(parent Parent, joiner Joiner) JoinVerdict {
	local := joiner.Zone == parent.Zone
	switch {
	case parent.Stopping || len(parent.Path) == 0:
		return JoinDetached
	case slices.Contains(parent.Path, joiner.Node):
		return JoinLoop
	case len(parent.Path)+joiner.Depth > parent.MaxDepth:
		return JoinTooDeep
	case !local && !parent.Reader:
		return JoinForeign
	case !local && !joiner.Known && parent.Children >= parent.Fanout+ForeignExtra:
		return JoinForeign
	case local && mustAskReadersFirst(parent, joiner):
		return JoinReadersFirst
	case local && !joiner.Known && parent.Children >= parent.Fanout:
		return JoinFull
	default:
		return JoinAccepted
	}
}

func mustAskReadersFirst(parent Parent, joiner Joiner) bool {
	if parent.Reader || joiner.Redirected || joiner.Known || joiner.Refusals >= patience {
		return false
	}
	return parent.KnowsReaders
}

// Child is a child to which others may be sent or that may become a reader. Only
// children with an address, which others can connect to, are passed to the rules.
type Child struct {
	Node, Zone string
	// Expected is the number of nodes of its subtree, those on their way to it included.
	Expected uint32
	// NoSeat is true when its settings keep it from becoming a reader.
	NoSeat bool
	// Offered is true while an offer of a seat has not been sent yet.
	Offered bool
}

// Redirects returns the indices of at most limit children to which a joining daemon of zone
// should go, those with the smallest subtree first, so that the tree stays even.
func Redirects(children []Child, zone, joining string, limit int) []int {
	var indices []int
	for index, child := range children {
		if child.Node != joining && child.Zone == zone {
			indices = append(indices, index)
		}
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(children[a].Expected, children[b].Expected), cmp.Compare(children[a].Node, children[b].Node))
	})
	return indices[:min(limit, len(indices))]
}

const (
	// refusalRetry is the shortest time after which a refused child should come back; the longest
	// is twice that. A child tries other daemons meanwhile.
	refusalRetry = 300 * time.Millisecond
	// detachedRetry is the time after which a child should ask again a parent without a path to a
	// reader. It must be shorter than the detached grace, in which such a parent mostly finds a new
	// one.
	detachedRetry = 500 * time.Millisecond
	// MaxReferrals is the number of children that a refusal names; a welcome names twice as many
	// daemons.
	MaxReferrals = 4
)

// Referral is whom a refusal names as parents to try instead.
type Referral int

// Referrals.
const (
	// ReferToNobody names no daemon.
	ReferToNobody Referral = iota
	// ReferToZoneReaders names the readers of the refusing daemon's zone.
	ReferToZoneReaders
	// ReferToReaders names the readers of that zone and some of others.
	ReferToReaders
	// ReferToChildren names the children with the smallest subtrees.
	ReferToChildren
)

// JoinRefusal is the answer to a joining child that was not accepted.
type JoinRefusal struct {
	Code   result.Code
	Reason string
	// RetryAfter is when the child may ask the same daemon again.
	RetryAfter time.Duration
	Referral   Referral
}

// RefuseJoin returns the answer that belongs to a verdict other than JoinAccepted.
// random, in [0, 1), spreads the return of children that were refused together.
func RefuseJoin(verdict JoinVerdict, random float64) JoinRefusal {
	refusal := JoinRefusal{
		Code:       result.DistributionParentFull,
		RetryAfter: refusalRetry + time.Duration(random*float64(refusalRetry)),
	}
	switch verdict {
	case JoinDetached:
		refusal.Code, refusal.Reason = result.DistributionDetached, "no way to a reader"
		refusal.RetryAfter = detachedRetry
	case JoinLoop:
		refusal.Code, refusal.Reason = result.DistributionLoop, "the asking node is above"
	case JoinTooDeep:
		refusal.Code, refusal.Reason = result.DistributionTooDeep, "the tree would be too deep"
		refusal.Referral = ReferToZoneReaders
	case JoinForeign:
		refusal.Reason, refusal.Referral = "a node of another zone goes to a reader", ReferToReaders
	case JoinReadersFirst:
		refusal.Reason, refusal.Referral = "ask the readers first", ReferToZoneReaders
	default:
		refusal.Reason, refusal.Referral = "enough children or too many joins at once", ReferToChildren
	}
	return refusal
}
