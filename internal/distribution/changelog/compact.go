package changelog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Retention limits of the objects in the object API.
const (
	// SnapshotEvery is the number of revisions between stored snapshots. A starting reader reads
	// one snapshot and at most about this many revisions.
	SnapshotEvery = 256
	// retainedRevisions is the number of archived revisions kept, for 'diff' and for readers that
	// were disconnected. It must be at least the number of revisions since the oldest retained
	// snapshot, or a reader that loads that snapshot finds a gap.
	retainedRevisions = 1024
	// retainedSnapshots is the number of snapshots kept. It must be at least 2, because a reader
	// may still be reading the older one.
	retainedSnapshots = 2
	// maxDeletesPerCompaction limits the deletions of old revisions and of old proposals in one
	// compaction. It must be at least SnapshotEvery, or the archive grows without limit.
	maxDeletesPerCompaction = 300
)

// Compact stores a snapshot when at least SnapshotEvery revisions were accepted since the newest
// one. It then deletes, in this order, older snapshots, revisions and proposals. One reader calls
// it periodically; concurrent calls are harmless, because snapshots are immutable and deletions
// name fixed keys. Errors: platform codes; the next call continues the compaction.
func (l *Log) Compact(ctx context.Context) error {
	state := l.State()
	snapshots, err := l.store.List(ctx, snapshotPrefix, "", 0)
	if err != nil {
		return err
	}
	newest := uint64(0)
	if count := len(snapshots.Objects); count > 0 {
		// A key without a number, which this package never writes, counts as 0. A snapshot is then
		// stored early, which is harmless.
		newest, _ = parseNumber(snapshots.Objects[count-1].Key)
	}
	if state.Revision < newest+SnapshotEvery {
		return nil
	}
	if err := l.storeImmutable(ctx, snapshotKey(state.Revision), state.Stored()); err != nil {
		return err
	}
	if extra := len(snapshots.Objects) + 1 - retainedSnapshots; extra > 0 {
		if err := l.deleteAll(ctx, snapshots.Objects[:extra]); err != nil {
			return err
		}
	}
	if err := l.deleteOldRevisions(ctx, state.Revision); err != nil {
		return err
	}
	return l.deleteOldProposals(ctx, state)
}

// deleteOldRevisions deletes archived revisions that are more than retainedRevisions older than
// revision, at most maxDeletesPerCompaction of them.
func (l *Log) deleteOldRevisions(ctx context.Context, revision uint64) error {
	if revision <= retainedRevisions {
		return nil
	}
	list, err := l.store.List(ctx, revisionPrefix, "", maxDeletesPerCompaction)
	if err != nil {
		return err
	}
	var old []objectapi.Object
	for _, object := range list.Objects {
		if number, ok := parseNumber(object.Key); ok && number+retainedRevisions < revision {
			old = append(old, object)
		}
	}
	return l.deleteAll(ctx, old)
}

// deleteOldProposals deletes proposals that were accepted, or whose base revision is too old to be
// accepted, at most maxDeletesPerCompaction of them.
func (l *Log) deleteOldProposals(ctx context.Context, state *meshconfig.State) error {
	list, err := l.store.List(ctx, proposalPrefix, "", 0)
	if err != nil {
		return err
	}
	var old []objectapi.Object
	for _, object := range list.Objects {
		proposal := &lapisv1.Proposal{}
		if proto.Unmarshal(object.Value, proposal) != nil {
			// A proposal that cannot be decoded is kept; Proposals reports the error.
			continue
		}
		_, accepted := state.Operations[proposal.GetOperationId()]
		stale := proposal.GetBaseRevision()+meshconfig.HistoryWindow < state.Revision
		if (accepted || stale) && len(old) < maxDeletesPerCompaction {
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
