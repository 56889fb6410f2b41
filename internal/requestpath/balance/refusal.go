package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// When a caller may come back that no instance could be chosen for.
const (
	// constrainedRetryAfter holds where constraints left no instance. It is longer than a call
	// waits, since evacuations and configurations last longer and an earlier return would be
	// refused again.
	constrainedRetryAfter = 5 * time.Second
	// noInstanceRetryAfter holds where the pool is empty, drained or all tried. The least in whole
	// seconds, and shorter than constrainedRetryAfter, since no order or configuration has to
	// change first. refusal.RetryAfter replaces it for most routes.
	noInstanceRetryAfter = time.Second
)

// refusedByConstraint is the refusal of a call for which cause, a *ConstraintError, left no
// instance.
func refusedByConstraint(service *snapshot.Service, cause error) error {
	refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s may get the call", service.Bundle.GetPool().GetName())
	refusal.Cause = cause
	refusal.RetryAfter = constrainedRetryAfter
	return refusal
}

// refusedWithoutInstance is the refusal of a call for which no instance is in service.
func refusedWithoutInstance(service *snapshot.Service) error {
	refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s may take the call", service.Bundle.GetPool().GetName())
	refusal.RetryAfter = noInstanceRetryAfter
	return refusal
}
