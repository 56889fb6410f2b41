package balance

import (
	"fmt"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Constraint is a condition that an instance must meet to receive a call. Constraints are applied
// by the filter, before scoring, so a good score never outweighs one.
type Constraint struct {
	// Name identifies the constraint in the decision log.
	Name string
	// Allows reports whether an instance may receive the call.
	Allows func(endpoint *lapisv1.Endpoint) bool
}

// NotEvacuated returns a constraint that allows the instances of zones that are not evacuated.
func NotEvacuated(evacuated func(zone string) bool) Constraint {
	return Constraint{Name: "evacuated", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return !evacuated(endpoint.GetZone())
	}}
}

// InRegions returns a constraint that allows the instances of the given regions, or all instances
// if no regions are given. An instance whose region is unknown is in none of the regions.
func InRegions(regions []string) Constraint {
	return Constraint{Name: "region", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return len(regions) == 0 || endpoint.GetRegion() != "" && slices.Contains(regions, endpoint.GetRegion())
	}}
}

// ConstraintError reports that a constraint excluded the last instance for a call.
type ConstraintError struct {
	// Constraint is the name of the constraint that excluded the last instance.
	Constraint string
	// Instances is the number of instances before the first constraint was applied.
	Instances int
}

// Error implements error.
func (e *ConstraintError) Error() string {
	return fmt.Sprintf("constraint %q excluded the last of %d instances", e.Constraint, e.Instances)
}
