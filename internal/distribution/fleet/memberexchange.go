package fleet

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// This file makes all daemons known to each other without reading the whole directory: each daemon
// regularly asks a random one that it is linked to for the members that it does not know. Membership
// so spreads in a number of rounds that grows with the logarithm of the fleet. A request has 0.5 kB
// at any size. Its answer has the members of the buckets whose digests differ, so that for one new
// member a sixty-fourth of the fleet is named, and nothing if both know the same.

const (
	// digestBuckets is the number of buckets into which names are divided by their hash.
	digestBuckets = 64
	// maxIntroducedMembers bounds the members in one message, to some 20 kB, so that other messages
	// are not held up behind a long one.
	maxIntroducedMembers = 256
	// exchangeMin, exchangeLearningMax and exchangeMax bound the time between two requests, which
	// doubles from the first to the last, or to exchangeLearningMax while the answers bring new
	// members. At the first, a daemon that has just started gets the members soon after its first
	// link. The last bounds how long a new member stays unknown: some 45 s with 985 daemons, less than
	// the 98 s between two of their lists. It costs each daemon 0.1 kB a second.
	exchangeMin         = 250 * time.Millisecond
	exchangeLearningMax = time.Second
	exchangeMax         = 5 * time.Second
)

// nameDigests holds, for each bucket, the combined hashes of the known names in it. Combining by XOR
// makes it independent of their order.
type nameDigests [digestBuckets]uint64

func hashName(node string) uint64 { return xxhash.Sum64String(node) }

// nameBucket returns the bucket of a name with the given hash.
func nameBucket(hash uint64) int { return int(hash % digestBuckets) }

func (d *nameDigests) add(hash uint64) { d[nameBucket(hash)] ^= hash }

// compare returns the buckets in which two daemons know different names; all buckets if the other
// one sent no digests, or a number of them that this release does not use.
func (d nameDigests) compare(other []uint64) (differs [digestBuckets]bool) {
	for bucket := range differs {
		differs[bucket] = len(other) != digestBuckets || other[bucket] != d[bucket]
	}
	return differs
}

// nameDigests returns the digests of all known daemons, including this one; the caller holds mutex.
// It takes time proportional to the fleet, some 10 microseconds for 1,000 members.
func (f *Fleet) nameDigests() (digests nameDigests) {
	digests.add(hashName(f.config.Self.Node))
	for _, peer := range f.peers {
		digests.add(peer.nameHash)
	}
	return digests
}

// exchangeSchedule decides when to ask for unknown members again.
type exchangeSchedule struct {
	wait time.Duration
}

// next returns the time until the next request. learned is true if members became known since the
// last one; linked is false if there is no daemon to ask.
func (s *exchangeSchedule) next(linked, learned bool) time.Duration {
	switch {
	case !linked || s.wait == 0:
		s.wait = exchangeMin
	case learned:
		s.wait = min(2*s.wait, exchangeLearningMax)
	default:
		s.wait = min(2*s.wait, exchangeMax)
	}
	return s.wait
}

// exchangeMembers asks linked daemons for the members that this one does not know, until ctx ends.
func (f *Fleet) exchangeMembers(ctx context.Context) {
	var schedule exchangeSchedule
	known := 0
	for linked := false; ; {
		before := known
		known = f.KnownMembers()
		if !sleep.For(ctx, f.jitter(schedule.next(linked, known > before))) {
			return
		}
		var link callmux.Link
		if link, linked = f.randomLink(); linked {
			f.send(link, introductionFrame(f.introductionRequest()))
		}
	}
}

// randomLink returns one of the open outbound links.
func (f *Fleet) randomLink() (link callmux.Link, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	seen := 0.0
	for _, peer := range f.peers {
		if !peer.connected || peer.stalled {
			continue
		}
		seen++
		if f.config.Random()*seen < 1 {
			link, found = peer.link, true
		}
	}
	return link, found
}
