package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/rollout"
)

// OfVersion returns a constraint that allows the instances of the version that was chosen for an
// attempt during a roll-out of the service.
func OfVersion(choice rollout.Choice) Constraint {
	return Constraint{Name: choice.Name, Allows: choice.Allows}
}

// Cold reports whether the instance reported that it is still cold.
func (t *Target) Cold(now time.Time) bool { return t.cold(now) }
