// Package platformapi is the interface between a daemon and the platform that its machine
// belongs to, where that is not lapisvane's own object API. It holds types only and owns no
// state; it relies on the packages that define what an adapter exchanges with them. An
// adapter translates, nothing more: decisions, state and recovery stay in those packages.
package platformapi

import (
	"context"
	"net"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
)

// Instances receives the heartbeats of the instances beside the daemon. An adapter
// acknowledges a message once the method has returned.
type Instances interface {
	// Register records a heartbeat.
	Register(registration origin.Registration)
	// WithdrawStart records that the start of an instance that an id and a time name retires; where
	// the time is 0, that of the id that is known.
	WithdrawStart(id string, born uint64)
}

// RefusedEntry is a class of entries of the platform's store, or of heartbeats, that cannot be used:
// they may be from another writer.
type RefusedEntry struct {
	// Kind is that of the objects, or says that they are heartbeats.
	Kind string
	// Reason is "unreadable", or what is wrong with a field: "missing", "type" or "value".
	Reason string
}

// Platform is the adapter to one platform.
type Platform interface {
	// Source is where the configuration in force and the operators' orders come from.
	Source() configsource.Source
	// Rollouts is where the status of roll-outs is written, each time under the condition that
	// the order's object is unchanged.
	Rollouts() rollout.Store
	// Directory is where daemons find each other.
	Directory() fleet.Directory
	// Quarantine stores the records of requests under which instances crashed, so that they
	// outlast all daemons.
	Quarantine() quarantine.Store
	// RefusedEntries returns the numbers of entries and heartbeats that could not be used, since
	// the start.
	RefusedEntries() map[RefusedEntry]int64
	// OnStoreReturn has a function called each time that the platform's store has come back
	// from a copy of itself: what was written there lately is gone. It is called in the
	// background and may be called late.
	OnStoreReturn(returned func())
	// Envelope names the header fields of requests and answers.
	Envelope() callapi.Envelope
	// ServeInstances serves the heartbeats of the instances beside the daemon
	// until ctx ends.
	ServeInstances(ctx context.Context, listener net.Listener, instances Instances)
	// ServeReadiness answers whether callers may be sent here, until ctx ends.
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool)
	// Close closes the adapter's connections.
	Close()
}
