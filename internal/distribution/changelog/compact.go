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
	// SnapshotEvery is the number of revisions between stored snapshots.
	SnapshotEvery = 256
	// keptRevisions is the number of archived revisions kept for 'diff' and
	// for readers that were away.
	keptRevisions = 1024
	// keptSnapshots is the number of stored snapshots kept.
	keptSnapshots = 2
	// deletesPerCompaction bounds the writes of one compaction.
	deletesPerCompaction = 300
)

// Compact stores a snapshot when one is due and deletes what is no longer
// kept. One reader calls it now and then; two callers at once do no harm,
// because snapshots are immutable and deletions are of fixed keys.
func (l *Log) Compact(ctx context.Context) error {
	state := l.State()
	snapshots, err := l.store.List(ctx, snapshotPrefix, "", 0)
	if err != nil {
		return err
	}
	newest := uint64(0)
	if count := len(snapshots.Objects); count > 0 {
		newest, _ = parseNumber(snapshots.Objects[count-1].Key)
	}
	if state.Revision < newest+SnapshotEvery {
		return nil
	}
	if err := l.storeSnapshot(ctx, state); err != nil {
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

func (l *Log) storeSnapshot(ctx context.Context, state *meshconfig.State) error {
	encoded, err := proto.Marshal(state.Stored())
	if err != nil {
		return result.Wrap(result.DistributionBadBundle, err, "encoding snapshot %d", state.Revision)
	}
	_, err = l.store.Put(ctx, snapshotKey(state.Revision), encoded, objectapi.VersionAbsent)
	if result.Is(err, result.PlatformConflict) {
		return nil
	}
	return err
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
