// Package platformapi states what lapisvane asks of the platform that its machines
// belong to, where that is not lapisvane's own object API. An adapter
// implements it and translates, nothing more: decisions, state and recovery
// stay in the product.
package platformapi

import (
	"context"
	"net"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
)

// Instances takes in what the instances beside the daemon state.
type Instances interface {
	// Register takes in a heartbeat; its return acknowledges it.
	Register(registration origin.Registration)
	// Withdraw notes that an instance leaves; its return acknowledges it.
	Withdraw(instance string)
}

// Platform is one platform.
type Platform interface {
	// Source is where the configuration in force and the operators' orders come from.
	Source() configsource.Source
	// Directory is where daemons find each other.
	Directory() fleet.Directory
	// Quarantine is where what daemons know of requests under which instances ended
	// outlasts all of them.
	Quarantine() quarantine.Store
	// Envelope names the header fields of requests and answers.
	Envelope() callapi.Envelope
	// ServeInstances serves the heartbeats of the instances beside the daemon
	// until ctx ends.
	ServeInstances(ctx context.Context, listener net.Listener, instances Instances)
	// ServeReadiness tells whoever asks whether callers may be sent here, until
	// ctx ends.
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool)
	// Close ends what is kept open.
	Close()
}
