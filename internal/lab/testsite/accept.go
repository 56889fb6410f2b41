package testsite

import (
	"context"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
)

// acceptChanges makes changes the next revision on behalf of the lab.
func acceptChanges(ctx context.Context, store objectapi.Store, operation string, changes []*lapisv1.Change) (uint64, error) {
	log := newLog(store)
	state, err := log.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	return log.Accept(ctx, &lapisv1.Proposal{
		OperationId: operation, Author: LabAdmin, BaseRevision: state.Revision, Changes: changes,
	})
}
