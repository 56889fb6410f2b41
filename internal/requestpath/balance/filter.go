package balance

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// filter is the first stage of a choice: it returns the instances that may get the call, at
// least one. It looks at these conditions in this order:
//
//  1. not tried before for this call (Choice.Exclude);
//  2. each constraint of the call (constraint.go). Where one takes the last instance the call
//     is refused, since a constraint is never weighed against anything;
//  3. in service: neither drained or retired by operators nor draining by itself;
//  4. healthy: neither suspect by its daemon's heartbeats nor ejected by this daemon's own
//     observations (health.go). Where no instance is healthy the doubtful ones are used, so
//     that suspicion, which may be wrong, never empties a pool.
//
// Constraints come before health, so that a doubtful instance that is allowed goes before a
// healthy one that is not. Errors: CallNoEndpoint with the time to come back.
func (s *selector) filter(targets []*Target) ([]*Target, error) {
	untried := without(targets, s.choice.Exclude)
	allowed, err := meetAll(untried, s.choice.Constraints)
	if err != nil {
		return nil, refusedByConstraint(s.service, err)
	}
	candidates := s.healthiest(allowed)
	if len(candidates) == 0 {
		return nil, refusedWithoutInstance(s.service)
	}
	return candidates, nil
}

// without returns the targets that are not excluded.
func without(targets, exclude []*Target) []*Target {
	if len(exclude) == 0 {
		return targets
	}
	kept := make([]*Target, 0, len(targets))
	for _, target := range targets {
		if !slices.Contains(exclude, target) {
			kept = append(kept, target)
		}
	}
	return kept
}

// meetAll returns the targets that meet all constraints. Errors: *ConstraintError when
// there were some and none is left.
func meetAll(targets []*Target, constraints []Constraint) ([]*Target, error) {
	left := targets
	for _, condition := range constraints {
		var meeting []*Target
		for _, target := range left {
			if condition.Allows(target.Endpoint) {
				meeting = append(meeting, target)
			}
		}
		if len(left) > 0 && len(meeting) == 0 {
			return nil, &ConstraintError{Constraint: condition.Name, Instances: len(targets)}
		}
		left = meeting
	}
	return left, nil
}

// healthiest returns the healthy instances in service, and where there are none the
// doubtful ones.
func (s *selector) healthiest(targets []*Target) []*Target {
	healthy := make([]*Target, 0, len(targets))
	var doubtful []*Target
	for _, target := range targets {
		if !s.inService(target) {
			continue
		}
		if isDoubtful(target.Endpoint.GetState(), target.ejected(s.now)) {
			doubtful = append(doubtful, target)
			continue
		}
		healthy = append(healthy, target)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return doubtful
}

// inService reports whether operators and the instance itself let it take new work.
func (s *selector) inService(target *Target) bool {
	return s.service.TakesNewWork(target.Endpoint.GetInstance()) && target.Endpoint.GetState() != lapisv1.Endpoint_STATE_DRAINING
}
