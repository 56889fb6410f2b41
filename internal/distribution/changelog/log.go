package changelog

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// listPageSize is the maximum number of archived revisions in one list request.
const listPageSize = 500

// Log reads and extends the log of accepted configurations. It caches the newest state that it has
// read. It is safe for concurrent use.
type Log struct {
	store objectapi.Store
	now   func() time.Time

	// mutex protects the cache. The cached revision never decreases.
	mutex       sync.Mutex
	state       *meshconfig.State
	head        *lapisv1.Revision
	headVersion int64
}

// New returns a log over store. now provides the acceptance time stored in revisions, which is for
// display only.
func New(store objectapi.Store, now func() time.Time) *Log {
	return &Log{store: store, now: now, state: meshconfig.NewState()}
}

// State returns the cached state without a request.
func (l *Log) State() *meshconfig.State {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state
}

// Refresh reads the accept register and returns a state that was current at some time after the
// call began. Errors: platform codes, PlatformBadAnswer when the register was deleted or cannot be
// decoded.
func (l *Log) Refresh(ctx context.Context) (*meshconfig.State, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refreshLocked(ctx)
}

// refreshLocked implements Refresh; the caller holds mutex.
func (l *Log) refreshLocked(ctx context.Context) (*meshconfig.State, error) {
	object, err := l.store.Get(ctx, HeadKey)
	if result.Is(err, result.PlatformNotFound) {
		if l.state.Revision > 0 {
			return nil, result.Errorf(result.PlatformBadAnswer, "the accept register was deleted at revision %d", l.state.Revision)
		}
		return l.state, nil
	}
	if err != nil {
		return nil, err
	}
	return l.adoptHead(ctx, object)
}

// Observe applies a watch event of the accept register and returns the newest state. Events may be
// late, duplicated or out of order. Errors: platform codes, PlatformBadAnswer,
// DistributionWrongBase when revisions in between are no longer stored.
func (l *Log) Observe(ctx context.Context, object objectapi.Object) (*meshconfig.State, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.adoptHead(ctx, object)
}

// HeadRevision reads the number of the newest accepted revision, 0 when there is none. Errors:
// platform codes.
func HeadRevision(ctx context.Context, store objectapi.Store) (uint64, error) {
	object, err := store.Get(ctx, HeadKey)
	if result.Is(err, result.PlatformNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	head := &lapisv1.Revision{}
	if err := decode(object, head); err != nil {
		return 0, err
	}
	return head.GetNumber(), nil
}

// adoptHead advances the cache to the revision in object; older revisions are ignored.
func (l *Log) adoptHead(ctx context.Context, object objectapi.Object) (*meshconfig.State, error) {
	head := &lapisv1.Revision{}
	if err := decode(object, head); err != nil {
		return nil, err
	}
	if head.GetNumber() <= l.state.Revision {
		if head.GetNumber() == l.state.Revision {
			l.head = head
			l.headVersion = object.Version
		}
		return l.state, nil
	}
	state, err := l.catchUp(ctx, l.state, head)
	if err != nil {
		return nil, err
	}
	l.state = state
	l.head = head
	l.headVersion = object.Version
	return state, nil
}

// catchUp advances state to head with archived revisions. It starts from a stored snapshot when the
// archive no longer contains the revisions after state.
func (l *Log) catchUp(ctx context.Context, state *meshconfig.State, head *lapisv1.Revision) (*meshconfig.State, error) {
	if head.GetNumber() == state.Revision+1 {
		return state.Advance(head)
	}
	caught, err := l.replay(ctx, state, head.GetNumber())
	if result.Is(err, result.DistributionWrongBase) {
		state, err = l.loadSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		caught, err = l.replay(ctx, state, head.GetNumber())
	}
	if err != nil || caught.Revision >= head.GetNumber() {
		return caught, err
	}
	return caught.Advance(head)
}

// replay applies the archived revisions after state and below limit. It returns
// DistributionWrongBase when a revision is missing.
func (l *Log) replay(ctx context.Context, state *meshconfig.State, limit uint64) (*meshconfig.State, error) {
	for state.Revision+1 < limit {
		list, err := l.store.List(ctx, revisionPrefix, revisionKey(state.Revision+1), listPageSize)
		if err != nil {
			return nil, err
		}
		reached, err := advanceAll(state, list.Objects, limit)
		if err != nil {
			return nil, err
		}
		if reached.Revision == state.Revision {
			return nil, result.Errorf(result.DistributionWrongBase, "revision %d is not archived", state.Revision+1)
		}
		state = reached
	}
	return state, nil
}

// advanceAll applies the archived revisions in objects, in order, up to but not including limit.
func advanceAll(state *meshconfig.State, objects []objectapi.Object, limit uint64) (*meshconfig.State, error) {
	for _, object := range objects {
		revision := &lapisv1.Revision{}
		if err := decode(object, revision); err != nil {
			return nil, err
		}
		if revision.GetNumber() >= limit {
			return state, nil
		}
		next, err := state.Advance(revision)
		if err != nil {
			return nil, err
		}
		state = next
	}
	return state, nil
}

// loadSnapshot reads the newest stored snapshot, or returns the empty state when there is none.
func (l *Log) loadSnapshot(ctx context.Context) (*meshconfig.State, error) {
	list, err := l.store.List(ctx, snapshotPrefix, "", 0)
	if err != nil {
		return nil, err
	}
	if len(list.Objects) == 0 {
		return meshconfig.NewState(), nil
	}
	newest := list.Objects[len(list.Objects)-1]
	stored := &lapisv1.StoredSnapshot{}
	if err := decode(newest, stored); err != nil {
		return nil, err
	}
	return meshconfig.FromStored(stored)
}

// Revision reads one accepted revision. Errors: OperatorUnknownRevision when it does not exist or
// is no longer stored.
func (l *Log) Revision(ctx context.Context, number uint64) (*lapisv1.Revision, error) {
	l.mutex.Lock()
	head := l.head
	l.mutex.Unlock()
	return l.readRevision(ctx, head, number)
}

// readRevision returns one revision, from head if it has that number.
func (l *Log) readRevision(ctx context.Context, head *lapisv1.Revision, number uint64) (*lapisv1.Revision, error) {
	if head.GetNumber() == number && number > 0 {
		return head, nil
	}
	revision := &lapisv1.Revision{}
	return revision, l.read(ctx, revisionKey(number), revision, result.Errorf(result.OperatorUnknownRevision, "revision %d", number))
}

// read decodes the object under key into target. It returns notFound when there is no such object.
// Other errors: PlatformBadAnswer, platform codes.
func (l *Log) read(ctx context.Context, key string, target proto.Message, notFound error) error {
	object, err := l.store.Get(ctx, key)
	if result.Is(err, result.PlatformNotFound) {
		return notFound
	}
	if err != nil {
		return err
	}
	return decode(object, target)
}

// storeImmutable writes a message under a key whose content never changes, so that an existing
// object counts as success. Errors: DistributionBadBundle when the message cannot be encoded,
// platform codes.
func (l *Log) storeImmutable(ctx context.Context, key string, message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return result.Wrap(result.DistributionBadBundle, err, "encoding %s", key)
	}
	_, err = l.store.Put(ctx, key, encoded, objectapi.VersionAbsent)
	if result.Is(err, result.PlatformConflict) {
		return nil
	}
	return err
}

// decode decodes an object's value. Errors: PlatformBadAnswer.
func decode(object objectapi.Object, target proto.Message) error {
	return result.Wrap(result.PlatformBadAnswer, proto.Unmarshal(object.Value, target), "decoding %s", object.Key)
}

// Keys in the object API.
const (
	// HeadKey is the key of the accept register.
	HeadKey = "log/head"
	// HeadPrefix is the prefix to watch for accepted revisions.
	HeadPrefix = "log/"

	revisionPrefix = "revisions/"
	snapshotPrefix = "snapshots/"
	proposalPrefix = "proposals/"
)

func revisionKey(number uint64) string { return fmt.Sprintf("%s%020d", revisionPrefix, number) }

func snapshotKey(number uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, number) }

func proposalKey(operation string) string { return proposalPrefix + operation }

// parseNumber returns the number at the end of a revision or snapshot key.
func parseNumber(key string) (uint64, bool) {
	index := strings.LastIndexByte(key, '/')
	number, err := strconv.ParseUint(key[index+1:], 10, 64)
	return number, err == nil
}
