package changelog

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Limits of an accept. The total of the waits must stay well below the request timeout of the
// operators' interface (20 s).
const (
	// maxAcceptAttempts is the maximum number of compare-and-swap attempts of one accept. It must
	// be larger than the number of concurrent operators, because only one of them succeeds in each
	// round.
	maxAcceptAttempts = 50
	// maxAcceptBackoff is the maximum random wait between two attempts, which spreads the attempts
	// of concurrent operators over time.
	maxAcceptBackoff = 100 * time.Millisecond
)

// Propose stores a proposal under its operation id. Storing the same content again succeeds.
// Errors: OperatorOperationReused when the id was used for different content,
// OperatorOutcomeUnknown when the object API did not answer.
func (l *Log) Propose(ctx context.Context, proposal *lapisv1.Proposal) error {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(proposal)
	if err != nil {
		return result.Wrap(result.OperatorRequestMalformed, err, "encoding the proposal")
	}
	key := proposalKey(proposal.GetOperationId())
	_, err = l.store.Put(ctx, key, encoded, objectapi.VersionAbsent)
	if err == nil {
		return nil
	}
	// The failed write may have taken effect, or an earlier write of the same proposal may have.
	present, getErr := l.store.Get(ctx, key)
	switch {
	case getErr == nil && bytes.Equal(present.Value, encoded):
		return nil
	case getErr == nil:
		return result.Errorf(result.OperatorOperationReused, "%s", proposal.GetOperationId())
	case result.Is(err, result.PlatformUnavailable):
		return result.Wrap(result.OperatorOutcomeUnknown, err, "storing proposal %s", proposal.GetOperationId())
	default:
		return err
	}
}

// Proposal reads a stored proposal. Errors: OperatorUnknownProposal.
func (l *Log) Proposal(ctx context.Context, operation string) (*lapisv1.Proposal, error) {
	proposal := &lapisv1.Proposal{}
	return proposal, l.read(ctx, proposalKey(operation), proposal, result.Errorf(result.OperatorUnknownProposal, "%s", operation))
}

// Proposals lists the stored proposals that have not been accepted.
func (l *Log) Proposals(ctx context.Context) ([]*lapisv1.Proposal, error) {
	list, err := l.store.List(ctx, proposalPrefix, "", 0)
	if err != nil {
		return nil, err
	}
	state := l.State()
	var open []*lapisv1.Proposal
	for _, object := range list.Objects {
		proposal := &lapisv1.Proposal{}
		if err := decode(object, proposal); err != nil {
			return nil, err
		}
		if _, accepted := state.Operations[proposal.GetOperationId()]; !accepted {
			open = append(open, proposal)
		}
	}
	return open, nil
}

// Accept makes proposal the next revision and returns its number. Each attempt first reads the
// accept register, so that the operation id of the proposal makes it take effect only once,
// regardless of repeated calls and lost answers. The outcome of an attempt is, in this order: the
// revision that already has the operation id; a conflict with a later change of the same object;
// validation errors; the result of the compare-and-swap write. An attempt is repeated only when the
// object API did not answer or another write came first. Errors: OperatorConflict, which names the
// other change; a *result.List of validation errors; OperatorStaleProposal; and
// OperatorOutcomeUnknown when an attempt may have written.
func (l *Log) Accept(ctx context.Context, proposal *lapisv1.Proposal) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	uncertain := false
	var lastErr error
	for attempt := 0; attempt < maxAcceptAttempts; attempt++ {
		if attempt > 0 && !sleep.For(ctx, rand.N(maxAcceptBackoff)) {
			break
		}
		number, maybeWritten, err := l.acceptOnce(ctx, proposal)
		if err == nil {
			return number, nil
		}
		lastErr = err
		uncertain = uncertain || maybeWritten
		if !retryable(err) {
			return 0, err
		}
	}
	if uncertain {
		return 0, result.Wrap(result.OperatorOutcomeUnknown, lastErr, "accepting %s", proposal.GetOperationId())
	}
	return 0, lastErr
}

// retryable reports whether another attempt may succeed after err.
func retryable(err error) bool {
	return result.Is(err, result.PlatformUnavailable) || result.Is(err, result.PlatformConflict)
}

// acceptOnce makes one attempt. maybeWritten is true when the register may have been written
// although err is set.
func (l *Log) acceptOnce(ctx context.Context, proposal *lapisv1.Proposal) (number uint64, maybeWritten bool, err error) {
	state, err := l.refreshLocked(ctx)
	if err != nil {
		return 0, false, err
	}
	if accepted, ok := state.Operations[proposal.GetOperationId()]; ok {
		return accepted, false, nil
	}
	if conflict, ok := state.FindConflict(proposal); ok {
		return 0, false, l.conflictError(ctx, conflict)
	}
	revision, next, err := state.Accept(proposal, l.now())
	if err != nil {
		return 0, false, err
	}
	if err := l.archiveHead(ctx); err != nil {
		return 0, false, err
	}
	encoded, err := proto.Marshal(revision)
	if err != nil {
		return 0, false, result.Wrap(result.DistributionBadBundle, err, "encoding revision %d", revision.GetNumber())
	}
	version, err := l.store.Put(ctx, HeadKey, encoded, l.headVersion)
	if err != nil {
		return 0, true, err
	}
	l.state = next
	l.head = revision
	l.headVersion = version
	return revision.GetNumber(), true, nil
}

// archiveHead archives the current head before it is replaced, so that the archive contains every
// revision below the head.
func (l *Log) archiveHead(ctx context.Context) error {
	if l.head == nil {
		return nil
	}
	return l.storeImmutable(ctx, revisionKey(l.head.GetNumber()), l.head)
}

// conflictError returns an error that identifies the accepted change with which the proposal
// conflicts; the caller holds mutex.
func (l *Log) conflictError(ctx context.Context, conflict meshconfig.Conflict) error {
	other, err := l.readRevision(ctx, l.head, conflict.Revision)
	if err != nil {
		return result.Errorf(result.OperatorConflict, "%s was changed by revision %d, which cannot be read: %v", conflict.Key, conflict.Revision, err)
	}
	return result.Errorf(result.OperatorConflict, "%s was changed by revision %d (operation %s by %s)",
		conflict.Key, conflict.Revision, other.GetProposal().GetOperationId(), other.GetProposal().GetAuthor())
}
