// Package position orders the states in the history of a store that may be restored from a backup.
// After a restore, the store assigns the same revisions again to other content, and increments its
// era. A Position combines era and revision into one increasing number, so that every state of a
// later era is newer.
//
// The package holds no state. Invariant: a revision is compared, stored or passed on only as a part
// of a Position.
package position

import (
	"fmt"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Position is a revision within an era, ordered by time. It is a single number, so that daemons
// without knowledge of eras can compare it like a revision. For a store without eras it equals the
// revision.
type Position uint64

// revisionBits is the number of bits for the revision and settlingBit. 46,000 changes a day fill
// them in 32,000 years; the remaining bits allow 16 million eras.
const revisionBits = 40

// maxRevision and maxEra are the largest values that a Position can hold.
const (
	maxRevision = 1<<(revisionBits-1) - 1
	maxEra      = 1<<(64-revisionBits) - 1
)

// In returns the position of a revision in an era. Errors: PlatformBadAnswer for numbers that
// exceed the range of a Position.
func In(era, revision uint64) (Position, error) {
	if revision > maxRevision || era > maxEra {
		return 0, result.Errorf(result.PlatformBadAnswer, "revision %d of era %d exceeds the range of a position", revision, era)
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns the era, 0 for a store without eras.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the revision within the era.
func (p Position) Revision() uint64 { return uint64(p) & maxRevision }

// String returns "era.revision", or only the revision for a store without eras.
func (p Position) String() string {
	if p.Era() == 0 {
		return fmt.Sprint(p.Revision())
	}
	return fmt.Sprintf("%d.%d", p.Era(), p.Revision())
}

// settlingBit marks a position between two eras. It is above maxRevision.
const settlingBit = 1 << (revisionBits - 1)

// Settling returns the position that represents p while lost writes of the previous era may be
// written again: newer than the whole previous era and older than all of p's era. Such positions
// have the same order as the positions that they represent.
func (p Position) Settling() Position {
	return Position((p.Era()-1)<<revisionBits | settlingBit | p.Revision())
}

// IsSettling reports whether p was returned by Settling.
func (p Position) IsSettling() bool { return p&settlingBit != 0 }

// EraBegun returns the newest era that has begun at p: the era of p, or the one after it if p was
// returned by Settling.
func (p Position) EraBegun() uint64 {
	if p.IsSettling() {
		return p.Era() + 1
	}
	return p.Era()
}

// Phase returns the number of the phase that p belongs to. Each era has two phases, its settling period
// and the time after it. A later phase has a higher number.
func (p Position) Phase() uint64 { return uint64(p) >> (revisionBits - 1) }
