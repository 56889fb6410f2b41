package membership

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// refusalRetry is the shortest time after which a refused child should come back;
	// the longest is twice that. Chosen, not measured. A child tries other daemons
	// meanwhile.
	refusalRetry = 300 * time.Millisecond
	// detachedRetry is the time after which a child should ask again a parent without a
	// path to a reader. Chosen, not measured; it must be shorter than the detached
	// grace, in which such a parent mostly finds a new one.
	detachedRetry = 500 * time.Millisecond
	// MaxReferrals is the number of children that a refusal names; a welcome names twice
	// as many daemons. Chosen, not measured.
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
