package changelog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of what is kept in the object API.
const (
	// SnapshotEvery is the number of revisions between stored snapshots. A reader that
	// starts reads a snapshot and at most about as many revisions.
	SnapshotEvery = 256
	// keptRevisions is the number of archived revisions kept for 'diff' and for readers
	// that were away. It must be at least the revisions since the oldest snapshot kept,
	// or a reader that loads that one finds a gap.
	keptRevisions = 1024
	// keptSnapshots is the number of stored snapshots kept; a reader may still be reading
	// the older one.
	keptSnapshots = 2
	// deletesPerCompaction bounds the writes of one compaction. It must be at least
	// SnapshotEvery, or the archive grows without end.
	deletesPerCompaction = 300
)

// Compact stores a snapshot when SnapshotEvery revisions were accepted since the newest one, and
// then deletes, in this order, older snapshots, revisions and proposals. One reader calls it
// periodically; two callers at once do no harm, because snapshots are immutable and deletions
// are of fixed keys. Errors: platform codes; the next call goes on where this one stopped.
func (l *Log) Compact(ctx context.Context) error {
	state := l.State()
	snapshots, err := l.store.List(ctx, snapshotPrefix, "", 0)
	if err != nil {
		return err
	}
	newest := uint64(0)
	if count := len(snapshots.Objects); count > 0 {
		// A key without a number, which nothing here writes, counts as 0: then a snapshot
		// is stored although none is due, which does no harm.
		newest, _ = parseNumber(snapshots.Objects[count-1].Key)
	}
	if state.Revision < newest+SnapshotEvery {
		return nil
	}
	if err := l.storeOnce(ctx, snapshotKey(state.Revision), state.Stored()); err != nil {
		return err
	}
	if extra := len(snapshots.Objects) + 1 - keptSnapshots; extra > 0 {
		if err := l.deleteAll(ctx, snapshots.Objects[:extra]); err != nil {
			return err
		}
	}
	if err := l.deleteOldRevisions(ctx, state.Revision); err != nil {
		return err
	}
	return l.deleteOldProposals(ctx, state)
}

func (l *Log) deleteOldRevisions(ctx context.Context, revision uint64) error {
	if revision <= keptRevisions {
		return nil
	}
	list, err := l.store.List(ctx, revisionPrefix, "", deletesPerCompaction)
	if err != nil {
		return err
	}
	var old []objectapi.Object
	for _, object := range list.Objects {
		if number, ok := parseNumber(object.Key); ok && number+keptRevisions < revision {
			old = append(old, object)
		}
	}
	return l.deleteAll(ctx, old)
}

func (l *Log) deleteOldProposals(ctx context.Context, state *meshconfig.State) error {
	list, err := l.store.List(ctx, proposalPrefix, "", 0)
	if err != nil {
		return err
	}
	var old []objectapi.Object
	for _, object := range list.Objects {
		proposal := &lapisv1.Proposal{}
		if proto.Unmarshal(object.Value, proposal) != nil {
			// Kept: Proposals reports the fault to whoever lists them.
			continue
		}
		_, accepted := state.Operations[proposal.GetOperationId()]
		stale := proposal.GetBaseRevision()+meshconfig.HistoryWindow < state.Revision
		if (accepted || stale) && len(old) < deletesPerCompaction {
			old = append(old, object)
		}
	}
	return l.deleteAll(ctx, old)
}

func (l *Log) deleteAll(ctx context.Context, objects []objectapi.Object) error {
	for _, object := range objects {
		err := l.store.Delete(ctx, object.Key, objectapi.VersionAny)
		if err != nil && !result.Is(err, result.PlatformNotFound) {
			return err
		}
	}
	return nil
}
