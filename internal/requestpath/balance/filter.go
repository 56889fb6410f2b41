package balance

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// filter is the first stage of the selection. It returns the instances that may receive the call,
// at least one. It checks these conditions in this order:
//
//  1. the instance was not tried before for this call (Choice.Exclude);
//  2. each constraint of the call (constraint.go). If one excludes the last instance, the call
//     is refused, because a constraint is never relaxed;
//  3. the instance is in service: neither drained or retired by operators nor draining or
//     leaving itself;
//  4. the instance is healthy: neither suspected because of missing heartbeats nor ejected by
//     outlier detection (health.go). If no instance is healthy, the unhealthy ones are used, so
//     that a false suspicion never empties a pool.
//
// Constraints are checked before health, so an unhealthy instance that a constraint allows is
// preferred to a healthy one that it excludes. It returns CallNoEndpoint with a retry time if no
// instance remains.
func (s *selector) filter(targets []*Target) ([]*Target, error) {
	untried := excluding(targets, s.choice.Exclude)
	allowed, err := satisfying(untried, s.choice.Constraints)
	if err != nil {
		return nil, constraintRefusal(s.service, err)
	}
	candidates := s.preferHealthy(allowed)
	if len(candidates) == 0 {
		return nil, noInstanceRefusal(s.service)
	}
	return candidates, nil
}

// excluding returns the targets that are not in exclude.
func excluding(targets, exclude []*Target) []*Target {
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

// satisfying returns the targets that meet all constraints. It returns a *ConstraintError if a
// constraint excludes the last of them.
func satisfying(targets []*Target, constraints []Constraint) ([]*Target, error) {
	remaining := targets
	for _, constraint := range constraints {
		var matching []*Target
		for _, target := range remaining {
			if constraint.Allows(target.Endpoint) {
				matching = append(matching, target)
			}
		}
		if len(remaining) > 0 && len(matching) == 0 {
			return nil, &ConstraintError{Constraint: constraint.Name, Instances: len(targets)}
		}
		remaining = matching
	}
	return remaining, nil
}

// preferHealthy returns the healthy instances in service, or the unhealthy ones if there are no
// healthy ones.
func (s *selector) preferHealthy(targets []*Target) []*Target {
	healthy := make([]*Target, 0, len(targets))
	var unhealthy []*Target
	for _, target := range targets {
		if !s.inService(target) {
			continue
		}
		if isUnhealthy(target.Endpoint.GetState(), target.ejected(s.now)) {
			unhealthy = append(unhealthy, target)
			continue
		}
		healthy = append(healthy, target)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return unhealthy
}

// inService reports whether an instance accepts new work: it is neither drained or retired by
// operators nor draining itself, nor has it stated in an answer that it leaves.
func (s *selector) inService(target *Target) bool {
	if target.leaving() {
		return false
	}
	return s.service.TakesNewWork(target.Endpoint.GetInstance()) && target.Endpoint.GetState() != lapisv1.Endpoint_STATE_DRAINING
}
