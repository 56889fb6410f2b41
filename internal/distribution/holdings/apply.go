package holdings

import (
	"maps"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxRemovals limits the number of recorded removals of services. When it is exceeded, all of them
// are discarded, and a receiver at an older revision gets the removals of all absent services or a
// full update. It equals meshconfig.HistoryWindow, the number of revisions for which removed
// objects are remembered.
const maxRemovals = 4096

// Apply applies an update for the services of interest atomically. The checks are made in this
// order: revision, base, bundles, digest of the result. Errors: DistributionBelowFloor for an older
// revision, DistributionWrongBase, DistributionDigestMismatch, DistributionBadBundle,
// DistributionNotClosed. After an error the holdings are unchanged.
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
	if !ok || expected != next.digestSet {
		return result.Errorf(result.DistributionDigestMismatch, "update to revision %d", update.GetToRevision())
	}
	*h = *next
	return nil
}

// candidate returns the holdings that result from the update. Maps are copied only when the update
// changes them.
func (h *Holdings) candidate(update *lapisv1.Update, interest Interest) *Holdings {
	next := *h
	next.revision = update.GetToRevision()
	next.acceptedUnixMillis = update.GetAcceptedUnixMillis()
	if update.GetFull() {
		next.bundles = map[string]heldBundle{}
		next.removedIn = map[string]uint64{}
		next.removalsCompleteSince = update.GetToRevision()
		next.coveredSince = map[string]uint64{}
		next.digestSet = digest.Set{}
	} else if len(update.GetBundles()) > 0 {
		next.bundles = maps.Clone(h.bundles)
		next.removedIn = maps.Clone(h.removedIn)
	}
	for _, encoded := range update.GetBundles() {
		next.applyBundle(encoded)
	}
	if !interest.Equal(h.interest) {
		next.setInterest(interest)
	}
	next.forgetOldRemovals()
	return &next
}

// applyBundle replaces the bundle of one service or records its removal.
func (h *Holdings) applyBundle(encoded *lapisv1.EncodedBundle) {
	service := encoded.GetService()
	if previous, ok := h.bundles[service]; ok {
		h.digestSet.Remove(previous.member)
		delete(h.bundles, service)
	}
	if encoded.GetRemoved() {
		h.removedIn[service] = encoded.GetChangedRevision()
		return
	}
	entry := heldBundle{bundle: encoded, member: digest.MemberOf(service, encoded.GetDigest())}
	h.bundles[service] = entry
	h.digestSet.Add(entry.member)
	delete(h.removedIn, service)
}

// setInterest sets the interest, drops bundles outside it and records the revision since which
// removals of newly covered services are known.
func (h *Holdings) setInterest(interest Interest) {
	previous := h.interest
	h.interest = interest
	if interest.All {
		if !previous.All {
			h.removalsCompleteSince = h.revision
		}
		return
	}
	h.coveredSince = maps.Clone(h.coveredSince)
	for service := range interest.Services {
		if !previous.Has(service) {
			h.coveredSince[service] = h.revision
		}
	}
	h.bundles = maps.Clone(h.bundles)
	for service, entry := range h.bundles {
		if !interest.Has(service) {
			h.digestSet.Remove(entry.member)
			delete(h.bundles, service)
		}
	}
}

// forgetOldRemovals discards all recorded removals when there are more than maxRemovals.
func (h *Holdings) forgetOldRemovals() {
	if len(h.removedIn) <= maxRemovals {
		return
	}
	h.removedIn = map[string]uint64{}
	h.removalsCompleteSince = h.revision
	h.coveredSince = map[string]uint64{}
}

// verifyBundles checks the digest of each bundle and that the objects it refers to are in it.
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
