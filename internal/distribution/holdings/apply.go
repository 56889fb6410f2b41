package holdings

import (
	"maps"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// keptRemovals bounds the remembered removals of services. Beyond it they are all forgotten, and
// receivers that were away longer get the removals of all absent services or a full update. It is
// the size of the history kept elsewhere.
const keptRemovals = 4096

// Apply applies an update for the services of interest, whole or not at all. The checks come in
// this order: revision, base, bundles, digest of the whole. Errors: DistributionBelowFloor for
// an older revision, DistributionWrongBase, DistributionDigestMismatch, DistributionBadBundle,
// DistributionNotClosed; after an error the holdings are unchanged.
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

// restrict sets the interest, drops bundles outside it and records from which
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
