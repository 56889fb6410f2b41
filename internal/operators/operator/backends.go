package operator

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxRebases is the maximum number of attempts at a change of a back end, which is rebased if another
// change of the pool was accepted first. It is larger than the number of operators that change one
// pool at the same time.
const maxRebases = 20

// changeBackend drains, undrains or retires a back end. Changes of different back ends of a pool
// commute, so after a conflict the change is applied again to the new state. Errors:
// OperatorRequestMalformed without an operation id, those of applyBackendAction, a *result.List of
// OperatorForbidden, OperatorBusy after maxRebases attempts, those of changelog.Log.Accept.
func (s *Server) changeBackend(ctx context.Context, operator Operator, request opapi.BackendRequest) (*opapi.AcceptAnswer, error) {
	if request.OperationID == "" {
		return nil, result.Errorf(result.OperatorRequestMalformed, "operation_id")
	}
	for range maxRebases {
		state, err := s.log.Refresh(ctx)
		if err != nil {
			return nil, err
		}
		if accepted, ok := state.Operations[request.OperationID]; ok {
			return &opapi.AcceptAnswer{Revision: accepted}, nil
		}
		pool, err := s.applyBackendAction(state, request)
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
	return nil, result.Errorf(result.OperatorBusy, "%d attempts conflicted with other changes of the pool of %s", maxRebases, request.Backend)
}

// applyBackendAction returns a copy of the back end's pool with the action applied. Errors:
// ConfigUnknownBackend, ConfigRetiredIsForever.
func (s *Server) applyBackendAction(state *meshconfig.State, request opapi.BackendRequest) (*lapisv1.Pool, error) {
	name, instance, err := s.findPoolOfBackend(state, request.Backend)
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

// findPoolOfBackend returns the pool and the instance of a back end given as "pool/instance", or as
// "instance" if that is unique among the instances known to this daemon.
func (s *Server) findPoolOfBackend(state *meshconfig.State, backend string) (pool, instance string, err error) {
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
