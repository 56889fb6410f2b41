package holdings

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
)

// Holdings is the set of bundles that a daemon holds at one revision. The revision never decreases.
// It is not safe for concurrent use; the mutex of the tree node protects it.
type Holdings struct {
	revision           uint64
	acceptedUnixMillis int64
	// interest is the set of services for which bundles is complete.
	interest Interest
	bundles  map[string]heldBundle
	// removedIn maps each removed service to the revision in which it was removed.
	removedIn map[string]uint64
	// removalsCompleteSince is the revision since which removedIn is complete.
	removalsCompleteSince uint64
	// coveredSince maps the services covered later than removalsCompleteSince to the revision since
	// which their removals are known.
	coveredSince map[string]uint64
	// digestSet is the digest of bundles.
	digestSet digest.Set
}

// heldBundle is a bundle and its contribution to digestSet, which is computed only once.
type heldBundle struct {
	bundle *lapisv1.EncodedBundle
	member digest.Member
}

// New returns empty holdings at revision 0.
func New() *Holdings {
	return &Holdings{
		bundles:      map[string]heldBundle{},
		removedIn:    map[string]uint64{},
		coveredSince: map[string]uint64{},
	}
}

// Revision returns the revision of the bundles.
func (h *Holdings) Revision() uint64 { return h.revision }

// AcceptedUnixMillis returns the time at which the revision was accepted.
func (h *Holdings) AcceptedUnixMillis() int64 { return h.acceptedUnixMillis }

// Interest returns the services that the holdings cover.
func (h *Holdings) Interest() Interest { return h.interest }

// Bundles returns a copy of the bundles of the services in interest.
func (h *Holdings) Bundles(interest Interest) map[string]*lapisv1.EncodedBundle {
	selected := map[string]*lapisv1.EncodedBundle{}
	h.visit(interest, func(service string, entry heldBundle) { selected[service] = entry.bundle })
	return selected
}
