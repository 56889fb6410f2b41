package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Retry times of calls for which no instance is available.
const (
	// constrainedRetryAfter is the retry time if constraints excluded all instances. It is longer
	// than a call waits, because evacuations and configurations last longer, and an earlier retry
	// would be refused again.
	constrainedRetryAfter = 5 * time.Second
	// noInstanceRetryAfter is the retry time if the pool is empty, drained or fully tried. It is
	// the smallest value in whole seconds and shorter than constrainedRetryAfter, because no order
	// or configuration needs to change first. refusal.RetryAfter replaces it for most routes.
	noInstanceRetryAfter = time.Second
)

// constraintRefusal returns the refusal of a call for which cause, a *ConstraintError, excluded all
// instances.
func constraintRefusal(service *snapshot.Service, cause error) error {
	refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s meets the constraints of the call", service.Bundle.GetPool().GetName())
	refusal.Cause = cause
	refusal.RetryAfter = constrainedRetryAfter
	return refusal
}

// noInstanceRefusal returns the refusal of a call for which no instance is in service.
func noInstanceRefusal(service *snapshot.Service) error {
	refusal := result.Errorf(result.CallNoEndpoint, "no instance of %s is available", service.Bundle.GetPool().GetName())
	refusal.RetryAfter = noInstanceRetryAfter
	return refusal
}
