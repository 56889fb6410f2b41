package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/rollout"
)

// OfVersion allows the instances whose version an attempt may go to while a roll-out of their
// service moves its calls.
func OfVersion(choice rollout.Choice) Constraint {
	return Constraint{Name: choice.Name, Allows: choice.Allows}
}

// Cold reports whether the instance reported that it is still cold.
func (t *Target) Cold(now time.Time) bool { return t.cold(now) }
