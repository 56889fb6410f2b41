package operator

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// prepare parses, authorizes and validates a proposal against the current state, in this
// order. Errors: ConfigUnreadable, a *result.List of OperatorForbidden or of validation
// faults, platform codes.
func (s *Server) prepare(ctx context.Context, operator Operator, request opapi.ProposeRequest) (*lapisv1.Proposal, error) {
	changes, err := meshconfig.ParseFile([]byte(request.File))
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 {
		return nil, result.Errorf(result.ConfigUnreadable, "the proposal changes nothing")
	}
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	if err := authorize(operator, state, changes); err != nil {
		return nil, err
	}
	proposal := &lapisv1.Proposal{
		OperationId: request.OperationID, Author: operator.Name, Group: operator.Group,
		BaseRevision: state.Revision, Changes: changes,
	}
	_, _, err = state.Accept(proposal, time.Now())
	return proposal, err
}

// validate checks a proposal without storing it. Errors: those of prepare.
func (s *Server) validate(ctx context.Context, operator Operator, request opapi.ProposeRequest) (*opapi.ProposeAnswer, error) {
	proposal, err := s.prepare(ctx, operator, request)
	if err != nil {
		return nil, err
	}
	return answerOf(proposal), nil
}

// propose stores a proposal under the operator's operation id. Errors:
// OperatorRequestMalformed, those of prepare, OperatorOperationReused,
// OperatorOutcomeUnknown.
func (s *Server) propose(ctx context.Context, operator Operator, request opapi.ProposeRequest) (*opapi.ProposeAnswer, error) {
	if request.OperationID == "" || strings.ContainsAny(request.OperationID, "/ \n") {
		return nil, result.Errorf(result.OperatorRequestMalformed, "operation_id")
	}
	proposal, err := s.prepare(ctx, operator, request)
	if err != nil {
		return nil, err
	}
	// If reading the stored proposal fails, the write below detects whether it exists.
	if stored, err := s.log.Proposal(ctx, request.OperationID); err == nil {
		return answerRepeatedProposal(proposal, stored)
	}
	if err := s.log.Propose(ctx, proposal); err != nil {
		return nil, err
	}
	return answerOf(proposal), nil
}

// answerRepeatedProposal answers a proposal that the client repeats because the first answer was lost. The
// base revision may differ from the stored one, all other fields must be equal. Errors:
// OperatorOperationReused.
func answerRepeatedProposal(proposal, stored *lapisv1.Proposal) (*opapi.ProposeAnswer, error) {
	again := proto.Clone(proposal).(*lapisv1.Proposal)
	again.BaseRevision = stored.GetBaseRevision()
	if !proto.Equal(again, stored) {
		return nil, result.Errorf(result.OperatorOperationReused, "%s", proposal.GetOperationId())
	}
	return answerOf(stored), nil
}

func answerOf(proposal *lapisv1.Proposal) *opapi.ProposeAnswer {
	return &opapi.ProposeAnswer{
		Proposal: proposal.GetOperationId(), BaseRevision: proposal.GetBaseRevision(), Changes: len(proposal.GetChanges()),
	}
}

// accept makes a stored proposal the next revision. The accepting operator must be authorized for
// every change, regardless of who proposed it.
func (s *Server) accept(ctx context.Context, operator Operator, request opapi.AcceptRequest) (*opapi.AcceptAnswer, error) {
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	if accepted, ok := state.Operations[request.Proposal]; ok {
		return &opapi.AcceptAnswer{Revision: accepted}, nil
	}
	proposal, err := s.log.Proposal(ctx, request.Proposal)
	if err != nil {
		return nil, err
	}
	if err := authorize(operator, state, proposal.GetChanges()); err != nil {
		return nil, err
	}
	number, err := s.log.Accept(ctx, proposal)
	if err != nil {
		return nil, err
	}
	s.config.Logger.Info("operator.accepted", "operator", operator.Name, "proposal", request.Proposal, "revision", number)
	return &opapi.AcceptAnswer{Revision: number}, nil
}
