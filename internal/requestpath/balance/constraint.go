package balance

import (
	"fmt"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Constraint is a condition that an instance must meet to get a call at all. It is never weighed
// against a score: the filter comes first, the score ranks what is left.
type Constraint struct {
	// Name is what the lines of decisions call the constraint.
	Name string
	// Allows reports whether an instance may get the call.
	Allows func(endpoint *lapisv1.Endpoint) bool
}

// NotEvacuated allows the instances of zones that are not evacuated.
func NotEvacuated(evacuated func(zone string) bool) Constraint {
	return Constraint{Name: "evacuated", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return !evacuated(endpoint.GetZone())
	}}
}

// InRegions allows the instances of the given regions, and all where none are given. An
// instance whose region is not known is in none of them.
func InRegions(regions []string) Constraint {
	return Constraint{Name: "region", Allows: func(endpoint *lapisv1.Endpoint) bool {
		return len(regions) == 0 || endpoint.GetRegion() != "" && slices.Contains(regions, endpoint.GetRegion())
	}}
}

// ConstraintError says that a constraint left no instance for a call.
type ConstraintError struct {
	// Constraint is the name of the one that took the last instance.
	Constraint string
	// Instances is how many there were before any constraint.
	Instances int
}

// Error implements error.
func (e *ConstraintError) Error() string {
	return fmt.Sprintf("the constraint %q took the last of %d instances", e.Constraint, e.Instances)
}
