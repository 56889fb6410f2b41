package holdings

import (
	"maps"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/digest"
)

// Delta returns the update from the given revision to the current one, for a receiver that holds
// the services of interest except those in added. The result is
//   - nil when the receiver is ahead or the holdings do not cover interest;
//   - a full update when the receiver holds nothing (from is 0), starts to follow all services, or
//     follows all services and is at a revision before the recorded removals;
//   - otherwise a delta, which holds the bundles changed after from, the bundles of the services in
//     added, and the removals that the receiver may have missed.
func (h *Holdings) Delta(interest, added Interest, from uint64) *lapisv1.Update {
	if from > h.revision || !h.interest.Covers(interest) {
		return nil
	}
	full := from == 0 || added.All || (interest.All && from < h.removalsCompleteSince)
	update := &lapisv1.Update{
		FromRevision:       from,
		ToRevision:         h.revision,
		Full:               full,
		AcceptedUnixMillis: h.acceptedUnixMillis,
	}
	var set digest.Set
	h.visit(interest, func(service string, entry heldBundle) {
		if !interest.All {
			set.Add(entry.member)
		}
		if full || entry.bundle.GetChangedRevision() > from || added.Has(service) {
			update.Bundles = append(update.Bundles, entry.bundle)
		}
	})
	slices.SortFunc(update.Bundles, func(a, b *lapisv1.EncodedBundle) int { return strings.Compare(a.GetService(), b.GetService()) })
	if interest.All {
		set = h.digestSet
	}
	update.Digest = set.Bytes()
	if !full {
		update.Bundles = append(update.Bundles, h.removalsSince(interest, from)...)
	}
	return update
}

// visit calls function for each held bundle in interest, in unspecified order.
func (h *Holdings) visit(interest Interest, function func(service string, entry heldBundle)) {
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

// removalsSince returns the removals that a receiver at revision from may have missed. A removal is
// also sent when it is unknown whether an absent service was removed since from, because removing a
// service that is not held has no effect.
func (h *Holdings) removalsSince(interest Interest, from uint64) []*lapisv1.EncodedBundle {
	if !interest.All && h.holdsAll(interest) {
		return nil
	}
	candidates := maps.Keys(interest.Services)
	if interest.All {
		candidates = maps.Keys(h.removedIn)
	}
	var removals []*lapisv1.EncodedBundle
	for _, service := range slices.Sorted(candidates) {
		if _, held := h.bundles[service]; held {
			continue
		}
		known := max(h.removalsCompleteSince, h.coveredSince[service])
		if h.removedIn[service] > from || known > from {
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
