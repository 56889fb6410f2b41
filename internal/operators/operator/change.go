package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxRebases bounds how often a drain is written anew after losing a race.
const maxRebases = 20

// prepare parses, authorizes and validates a proposal against the present
// state.
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

func (s *Server) propose(ctx context.Context, operator Operator, request opapi.ProposeRequest) (*opapi.ProposeAnswer, error) {
	if request.OperationID == "" || strings.ContainsAny(request.OperationID, "/ \n") {
		return nil, result.Errorf(result.OperatorRequestMalformed, "operation_id")
	}
	proposal, err := s.prepare(ctx, operator, request)
	if err != nil {
		return nil, err
	}
	if stored, err := s.log.Proposal(ctx, request.OperationID); err == nil {
		return s.proposedBefore(proposal, stored)
	}
	if err := s.log.Propose(ctx, proposal); err != nil {
		return nil, err
	}
	return answerOf(proposal), nil
}

// proposedBefore settles a repeated propose whose first answer was lost: the
// base may have moved, the rest must be the same.
func (s *Server) proposedBefore(proposal, stored *lapisv1.Proposal) (*opapi.ProposeAnswer, error) {
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

// accept makes a stored proposal the next revision. The operator must be
// allowed to make every change, whoever proposed them.
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

// changeBackend drains, undrains or retires a back end. The change commutes
// with those of other back ends of the pool, so after a lost race it is
// written anew.
func (s *Server) changeBackend(ctx context.Context, operator Operator, request opapi.BackendRequest) (*opapi.AcceptAnswer, error) {
	for range maxRebases {
		state, err := s.log.Refresh(ctx)
		if err != nil {
			return nil, err
		}
		if accepted, ok := state.Operations[request.OperationID]; ok {
			return &opapi.AcceptAnswer{Revision: accepted}, nil
		}
		pool, err := s.changedPool(state, request)
		if err != nil {
			return nil, err
		}
		changes := []*lapisv1.Change{meshconfig.ChangeOfPool(pool)}
		if err := authorize(operator, state, changes); err != nil {
			return nil, err
		}
		number, err := s.log.Accept(ctx, &lapisv1.Proposal{
			OperationId: request.OperationID, Author: operator.Name, Group: operator.Group,
			BaseRevision: state.Revision, Changes: changes,
		})
		if result.Is(err, result.OperatorConflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		s.config.Logger.Info("operator.backend", "operator", operator.Name, "action", request.Action, "backend", request.Backend, "revision", number)
		return &opapi.AcceptAnswer{Revision: number}, nil
	}
	return nil, result.Errorf(result.OperatorBusy, "lost %d races for the pool of %s", maxRebases, request.Backend)
}

// changedPool returns the pool with the action applied. Errors:
// ConfigUnknownBackend, ConfigRetiredIsForever.
func (s *Server) changedPool(state *meshconfig.State, request opapi.BackendRequest) (*lapisv1.Pool, error) {
	name, instance, err := s.locate(state, request.Backend)
	if err != nil {
		return nil, err
	}
	pool := proto.Clone(state.Pools[name]).(*lapisv1.Pool)
	retired := slices.Contains(pool.GetRetired(), instance)
	pool.Drained = slices.DeleteFunc(pool.Drained, func(other string) bool { return other == instance })
	switch request.Action {
	case opapi.ActionDrain:
		pool.Drained = append(pool.Drained, instance)
	case opapi.ActionUndrain:
		if retired {
			return nil, result.Errorf(result.ConfigRetiredIsForever, "%s/%s", name, instance)
		}
	case opapi.ActionRetire:
		if !retired {
			pool.Retired = append(pool.Retired, instance)
		}
	default:
		return nil, result.Errorf(result.OperatorBadCommand, "action %q", request.Action)
	}
	return pool, nil
}

// locate finds the pool of a back end given as "pool/instance" or, where it is
// unique among the instances this daemon sees, "instance".
func (s *Server) locate(state *meshconfig.State, backend string) (pool, instance string, err error) {
	if name, rest, found := strings.Cut(backend, "/"); found {
		if _, ok := state.Pools[name]; !ok {
			return "", "", result.Errorf(result.ConfigUnknownPool, "%q", name)
		}
		return name, rest, nil
	}
	var found []string
	for name := range state.Pools {
		for _, endpoint := range s.config.Endpoints.Endpoints(name) {
			if endpoint.GetInstance() == backend {
				found = append(found, name)
			}
		}
	}
	if len(found) != 1 {
		return "", "", result.Errorf(result.ConfigUnknownBackend, "%q is in %d pools as seen here; write pool/instance", backend, len(found))
	}
	return found[0], backend, nil
}

// diff lists the objects that changed after revision from up to to.
func (s *Server) diff(ctx context.Context, from, to uint64) (*opapi.Table, error) {
	if from > to {
		from, to = to, from
	}
	if _, err := s.log.Refresh(ctx); err != nil {
		return nil, err
	}
	table := &opapi.Table{Columns: []opapi.Column{{Name: "revision", Numeric: true}, {Name: "object"}, {Name: "change"}, {Name: "author"}}}
	for number := from + 1; number <= to; number++ {
		revision, err := s.log.Revision(ctx, number)
		if err != nil {
			return nil, err
		}
		for _, change := range revision.GetProposal().GetChanges() {
			table.Rows = append(table.Rows, []string{
				fmt.Sprint(number), string(meshconfig.ChangeKey(change)), describe(change), revision.GetProposal().GetAuthor(),
			})
		}
	}
	return table, nil
}

// describe renders a change without any secret's value.
func describe(change *lapisv1.Change) string {
	if change.GetRemovedKind() != "" {
		return "removed"
	}
	if secret := change.GetSecret(); secret != nil {
		fingerprint, expires := identify(secret)
		return "set to fingerprint " + fingerprint + " expiring " + expires
	}
	compact := prototext.MarshalOptions{}
	return "set to " + compact.Format(change)
}

// waitInterval is the time between two looks at the status.
const waitInterval = 100 * time.Millisecond

// wait returns when a revision is in force on every proxy that reports.
func (s *Server) wait(ctx context.Context, revision uint64, limit time.Duration) (*opapi.Table, error) {
	state, err := s.log.Refresh(ctx)
	if err != nil {
		return nil, err
	}
	if revision > state.Revision {
		return nil, result.Errorf(result.OperatorUnknownRevision, "revision %d is not accepted yet", revision)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	started := time.Now()
	for {
		fleet, err := s.fleet(ctx)
		if err == nil {
			if _, nodes, lowest := fleet.counts(); nodes > 0 && lowest >= revision {
				return &opapi.Table{
					Columns: []opapi.Column{{Name: "revision", Numeric: true}, {Name: "proxies", Numeric: true}, {Name: "machines", Numeric: true}, {Name: "waited_ms", Numeric: true}},
					Rows:    [][]string{{number(revision), number(uint64(nodes)), fmt.Sprint(fleet.machines), fmt.Sprint(time.Since(started).Milliseconds())}},
				}, nil
			}
		}
		select {
		case <-ctx.Done():
			return nil, result.Errorf(result.OperatorWaitExpired, "revision %d", revision)
		case <-time.After(waitInterval):
		}
	}
}
