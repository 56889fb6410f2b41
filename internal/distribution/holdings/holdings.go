package holdings

import (
	"maps"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// keptRemovals bounds the remembered removals of services. Beyond it they are all
// forgotten, and receivers that were away longer get the removals of all absent services
// or a full update. Chosen, not measured; the size of the history kept elsewhere.
const keptRemovals = 4096

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
	if interest.All {
		for service, entry := range h.bundles {
			selected[service] = entry.bundle
		}
		return selected
	}
	for service := range interest.Services {
		if entry, ok := h.bundles[service]; ok {
			selected[service] = entry.bundle
		}
	}
	return selected
}

// Delta returns the update that brings a receiver that holds the services of interest,
// except those in added, from the given revision to the present one. It returns nil when
// the receiver is ahead or the holdings do not cover interest, and a full update when the
// receiver holds nothing, starts to follow all services, or has been away for longer than
// removals are remembered.
func (h *Holdings) Delta(interest, added Interest, from uint64) *lapisv1.Update {
	if from > h.revision || !h.interest.Covers(interest) {
		return nil
	}
	full := from == 0 || added.All || (interest.All && from < h.removalsFrom)
	update := &lapisv1.Update{
		FromRevision:       from,
		ToRevision:         h.revision,
		Full:               full,
		AcceptedUnixMillis: h.acceptedUnixMillis,
	}
	var set digest.Set
	h.visit(interest, func(service string, entry held) {
		if !interest.All {
			set.Add(entry.member)
		}
		if full || entry.bundle.GetChangedRevision() > from || added.Has(service) {
			update.Bundles = append(update.Bundles, entry.bundle)
		}
	})
	slices.SortFunc(update.Bundles, func(a, b *lapisv1.EncodedBundle) int { return strings.Compare(a.GetService(), b.GetService()) })
	if interest.All {
		set = h.set
	}
	update.Digest = set.Bytes()
	if !full {
		update.Bundles = append(update.Bundles, h.removalsSince(interest, from)...)
	}
	return update
}

// visit calls function for each held bundle in interest, in no order.
func (h *Holdings) visit(interest Interest, function func(service string, entry held)) {
	if interest.All {
		for service, entry := range h.bundles {
			function(service, entry)
		}
		return
	}
	for service := range interest.Services {
		if entry, ok := h.bundles[service]; ok {
			function(service, entry)
		}
	}
}

// removalsSince returns the removals that a receiver at from may have missed.
// When it is not known whether an absent service was removed since from, a
// removal is sent all the same: removing what is not held has no effect.
func (h *Holdings) removalsSince(interest Interest, from uint64) []*lapisv1.EncodedBundle {
	if !interest.All && h.holdsAll(interest) {
		return nil
	}
	candidates := interest.Services
	if interest.All {
		candidates = make(map[string]struct{}, len(h.removed))
		for service := range h.removed {
			candidates[service] = struct{}{}
		}
	}
	var removals []*lapisv1.EncodedBundle
	for _, service := range slices.Sorted(maps.Keys(candidates)) {
		if _, held := h.bundles[service]; held {
			continue
		}
		known := max(h.removalsFrom, h.coveredFrom[service])
		if h.removed[service] > from || known > from {
			removals = append(removals, &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: h.revision})
		}
	}
	return removals
}

// holdsAll reports whether every service of interest has a bundle.
func (h *Holdings) holdsAll(interest Interest) bool {
	for service := range interest.Services {
		if _, ok := h.bundles[service]; !ok {
			return false
		}
	}
	return true
}

// Apply applies an update for the services of interest, whole or not at all. The checks
// come in this order: revision, base, bundles, digest of the whole.
// Errors: DistributionBelowFloor for an older revision, DistributionWrongBase,
// DistributionDigestMismatch, DistributionBadBundle, DistributionNotClosed;
// after an error the holdings are unchanged.
func (h *Holdings) Apply(update *lapisv1.Update, interest Interest) error {
	if update.GetToRevision() < h.revision {
		return result.Errorf(result.DistributionBelowFloor, "revision %d after %d", update.GetToRevision(), h.revision)
	}
	if !update.GetFull() && update.GetFromRevision() != h.revision {
		return result.Errorf(result.DistributionWrongBase, "delta from %d, held %d", update.GetFromRevision(), h.revision)
	}
	next := h.candidate(update, interest)
	if err := verifyBundles(update.GetBundles()); err != nil {
		return err
	}
	expected, ok := digest.ParseSet(update.GetDigest())
	if !ok || expected != next.set {
		return result.Errorf(result.DistributionDigestMismatch, "update to revision %d", update.GetToRevision())
	}
	*h = *next
	return nil
}

// candidate returns the holdings that the update would make. Maps are copied
// only when the update changes them.
func (h *Holdings) candidate(update *lapisv1.Update, interest Interest) *Holdings {
	next := *h
	next.revision = update.GetToRevision()
	next.acceptedUnixMillis = update.GetAcceptedUnixMillis()
	if update.GetFull() {
		next.bundles = map[string]held{}
		next.removed = map[string]uint64{}
		next.removalsFrom = update.GetToRevision()
		next.coveredFrom = map[string]uint64{}
		next.set = digest.Set{}
	} else if len(update.GetBundles()) > 0 {
		next.bundles = maps.Clone(h.bundles)
		next.removed = maps.Clone(h.removed)
	}
	for _, encoded := range update.GetBundles() {
		next.replace(encoded)
	}
	if !interest.Equal(h.interest) {
		next.restrict(interest)
	}
	next.forgetOldRemovals()
	return &next
}

func (h *Holdings) replace(encoded *lapisv1.EncodedBundle) {
	service := encoded.GetService()
	if previous, ok := h.bundles[service]; ok {
		h.set.Remove(previous.member)
		delete(h.bundles, service)
	}
	if encoded.GetRemoved() {
		h.removed[service] = encoded.GetChangedRevision()
		return
	}
	entry := held{bundle: encoded, member: digest.MemberOf(service, encoded.GetDigest())}
	h.bundles[service] = entry
	h.set.Add(entry.member)
	delete(h.removed, service)
}

// restrict sets the interest, drops bundles outside it and notes from which
// revision removals of newly covered services are known.
func (h *Holdings) restrict(interest Interest) {
	previous := h.interest
	h.interest = interest
	if interest.All {
		if !previous.All {
			h.removalsFrom = h.revision
		}
		return
	}
	h.coveredFrom = maps.Clone(h.coveredFrom)
	for service := range interest.Services {
		if !previous.Has(service) {
			h.coveredFrom[service] = h.revision
		}
	}
	h.bundles = maps.Clone(h.bundles)
	for service, entry := range h.bundles {
		if !interest.Has(service) {
			h.set.Remove(entry.member)
			delete(h.bundles, service)
		}
	}
}

func (h *Holdings) forgetOldRemovals() {
	if len(h.removed) <= keptRemovals {
		return
	}
	h.removed = map[string]uint64{}
	h.removalsFrom = h.revision
	h.coveredFrom = map[string]uint64{}
}

// verifyBundles checks each bundle's digest and closure.
func verifyBundles(bundles []*lapisv1.EncodedBundle) error {
	for _, encoded := range bundles {
		if encoded.GetRemoved() {
			continue
		}
		if _, err := meshconfig.DecodeBundle(encoded); err != nil {
			return err
		}
	}
	return nil
}
