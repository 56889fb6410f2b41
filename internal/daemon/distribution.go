package daemon

import (
	"context"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// distribution is a daemon's part in telling daemons of each other's instances:
// a tree.Node, or a fleet.Fleet on a platform.
type distribution interface {
	Run(ctx context.Context)
	// SetLocalEndpoints states the instances beside the daemon.
	SetLocalEndpoints(endpoints []*lapisv1.Endpoint)
	// Endpoints returns the known instances of a service.
	Endpoints(service string) []*lapisv1.Endpoint
}
