package quarantine

import (
	"context"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Store keeps records where they outlast all daemons. An error means that it is not known
// whether anything was done; doing it again does no harm. It is safe for concurrent use.
type Store interface {
	// Load returns all records. They may be some seconds old.
	Load(ctx context.Context) ([]Record, error)
	// Save merges a record into the stored one.
	Save(ctx context.Context, record Record) error
	// Remove deletes the record of a key; one that is not there is no error.
	Remove(ctx context.Context, key fingerprint.Key) error
	// Try counts one more trial of a record. It succeeds for one daemon only, and for
	// none where the record has more trials already or is not there.
	Try(ctx context.Context, key fingerprint.Key, trials uint32) (granted bool, err error)
}
