package gateway

import (
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// constraints returns what an instance must meet to get the call at all: its zone is not
// evacuated at the time of the attempt, and its region is one that the route in force when
// the request was read allows.
func (a *attempter) constraints() []balance.Constraint {
	var constraints []balance.Constraint
	if evacuated := a.gateway.config.Evacuated; evacuated != nil {
		constraints = append(constraints, balance.NotEvacuated(evacuated))
	}
	if regions := a.route.GetAllowedRegions(); len(regions) > 0 {
		constraints = append(constraints, balance.InRegions(regions))
	}
	return constraints
}

// constraintOf returns the name of the constraint that left no instance for a call,
// empty where none did.
func constraintOf(err error) string {
	var constrained *balance.ConstraintError
	if errors.As(err, &constrained) {
		return constrained.Constraint
	}
	return ""
}
