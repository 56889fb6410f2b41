package balance

import "github.com/lapisvane/lapisvane/api/lapisv1"

// Constraint is a condition that an instance must meet to get a call at all. It is
// never weighed against a cost: the filter comes first, the choice by cost among
// what is left second.
type Constraint interface {
	// Name is what the lines of decisions call the constraint.
	Name() string
	// Allows reports whether an instance may get the call.
	Allows(endpoint *lapisv1.Endpoint) bool
}

// constraint implements Constraint.
type constraint struct {
	name   string
	allows func(*lapisv1.Endpoint) bool
}

// Name implements Constraint.
func (c constraint) Name() string { return c.name }

// Allows implements Constraint.
func (c constraint) Allows(endpoint *lapisv1.Endpoint) bool { return c.allows(endpoint) }

// NotEvacuated allows the instances of zones that are not evacuated.
func NotEvacuated(evacuated func(zone string) bool) Constraint {
	return constraint{name: "evacuated", allows: func(endpoint *lapisv1.Endpoint) bool {
		return !evacuated(endpoint.GetZone())
	}}
}

// InRegions allows the instances of the given regions, and all where none are given.
func InRegions(regions []string) Constraint {
	return constraint{name: "region", allows: func(endpoint *lapisv1.Endpoint) bool {
		if len(regions) == 0 {
			return true
		}
		for _, region := range regions {
			if region == endpoint.GetRegion() {
				return true
			}
		}
		return false
	}}
}
