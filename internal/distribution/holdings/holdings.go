package holdings

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
)

// Holdings is what a daemon holds. It is not safe for concurrent use; the
// tree node's lock protects it. The revision never decreases.
type Holdings struct {
	revision           uint64
	acceptedUnixMillis int64
	// interest is the set of services for which bundles is complete.
	interest Interest
	bundles  map[string]held
	// removed gives the revision in which a service was removed.
	removed map[string]uint64
	// removalsFrom is the revision from which removed is complete.
	removalsFrom uint64
	// coveredFrom gives, for services covered later than removalsFrom, the
	// revision from which their removal would be known.
	coveredFrom map[string]uint64
	// set is the digest over bundles.
	set digest.Set
}

// held is a bundle with what it adds to a digest, which is computed once.
type held struct {
	bundle *lapisv1.EncodedBundle
	member digest.Member
}

// New returns empty holdings at revision 0.
func New() *Holdings {
	return &Holdings{
		bundles:     map[string]held{},
		removed:     map[string]uint64{},
		coveredFrom: map[string]uint64{},
	}
}

// Revision returns the revision held.
func (h *Holdings) Revision() uint64 { return h.revision }

// AcceptedUnixMillis returns the acceptance time of the revision held.
func (h *Holdings) AcceptedUnixMillis() int64 { return h.acceptedUnixMillis }

// Interest returns the services that the holdings cover.
func (h *Holdings) Interest() Interest { return h.interest }

// Bundles returns a copy of the bundles of the services in interest.
func (h *Holdings) Bundles(interest Interest) map[string]*lapisv1.EncodedBundle {
	selected := map[string]*lapisv1.EncodedBundle{}
	h.visit(interest, func(service string, entry held) { selected[service] = entry.bundle })
	return selected
}
