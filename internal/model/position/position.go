// Package position holds places in the history of a store that may come back from a copy of
// itself. Its revisions go back then and are given out again for other content, and its era, a
// number that it states, rises by one. A Position joins both into one number that only grows, so
// that places of different eras are compared as they must be: each of a later era is newer.
//
// The package is pure and owns no state. What must hold: a revision is compared, kept or passed on
// only as a part of a Position.
package position

import (
	"fmt"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Position is an era and a revision within it, in the order of time. It is one number, so that
// daemons that know no eras compare it as they compare revisions; in a store that states no era it
// is the revision.
type Position uint64

// revisionBits is how much of a Position is the revision and the mark of Settling. 46,000 changes a
// day fill it in 32,000 years; 16 million eras are left.
const revisionBits = 40

// maxRevision and maxEra are the largest that a Position holds.
const (
	maxRevision = 1<<(revisionBits-1) - 1
	maxEra      = 1<<(64-revisionBits) - 1
)

// In returns the place of a revision in an era. Errors: PlatformBadAnswer for numbers that a
// Position cannot hold.
func In(era, revision uint64) (Position, error) {
	if revision > maxRevision || era > maxEra {
		return 0, result.Errorf(result.PlatformBadAnswer, "revision %d of era %d is beyond what can be compared", revision, era)
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era, 0 where the store states none.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// String returns "era.revision", the revision alone where the store states no era.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}

// settlingBit marks a place between two eras. Revisions of a store stay below it.
const settlingBit = 1 << (revisionBits - 1)

// Settling returns the place that stands for p as long as what was lost with the era before may be
// written again: newer than all of that era, older than all of p's. Such places are in the order
// of p.
func (p Position) Settling() Position {
	return Position((p.Era()-1)<<revisionBits | settlingBit | p.Revision())
}

// IsSettling reports whether p is a place that Settling returned.
func (p Position) IsSettling() bool { return p&settlingBit != 0 }

// EraBegun returns the newest era that has begun at p: that of p, the one after for a place that
// Settling returned.
func (p Position) EraBegun() uint64 {
	if p.IsSettling() {
		return p.Era() + 1
	}
	return p.Era()
}

// Phase returns a number that is the same for all places of an era after it settled, and for all
// places while it settles, and that grows from each of these to the next.
func (p Position) Phase() uint64 { return uint64(p) >> (revisionBits - 1) }
