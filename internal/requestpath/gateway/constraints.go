package gateway

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// constraints returns what an instance must meet to get the call at all. The homes are
// those of the route in force when the request was read.
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

// noteFailure counts and writes how a call ended without an answer of a back end.
func (g *Gateway) noteFailure(rc *app.RequestContext, route *lapisv1.Route, err error, started time.Time) {
	if name := constraintOf(err); name != "" {
		g.metrics.constrained.WithLabelValues(name).Inc()
	}
	g.logFailure(rc, route, err, started)
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
