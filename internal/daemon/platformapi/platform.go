// Package platformapi defines the interface between a daemon and its machine's platform, if that is not
// lapisvane's own object API. It contains only types, and relies on the packages that define the data
// exchanged with an adapter. An adapter only translates: decisions, state and recovery stay in those
// packages.
package platformapi

import (
	"context"
	"net"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
)

// Instances receives the heartbeats of the local instances. An adapter acknowledges a message after the
// method has returned without an error, and does not acknowledge it after an error.
type Instances interface {
	// Heartbeat handles a heartbeat.
	Heartbeat(ctx context.Context, registration origin.Registration) error
	// Retire handles that an incarnation of an instance retires. id and born, its start time in Unix
	// milliseconds, identify it; if born is 0, the known incarnation with that id retires.
	Retire(ctx context.Context, id string, born uint64) error
}

// RefusedEntry is a class of invalid entries in the platform's store, or of invalid heartbeats, which
// may come from other writers.
type RefusedEntry struct {
	// Kind is the kind of the objects; heartbeats have a kind of their own.
	Kind string
	// Reason is "unreadable", or the fault of a field: "missing", "type" or "value".
	Reason string
}

// Platform is the adapter to one platform.
type Platform interface {
	// Source returns the source of configurations and of the operators' orders.
	Source() configsource.Source
	// Rollouts returns the store for the status of roll-outs. Each write is conditional on the order's
	// object being unchanged.
	Rollouts() rollout.Store
	// Directory returns the directory through which daemons discover each other.
	Directory() fleet.Directory
	// Quarantine returns the store for records of requests that are suspected of crashing instances. It
	// persists them beyond the lifetime of all daemons.
	Quarantine() quarantine.Store
	// Departures returns the store for the departures of instances beside the daemon with the given name.
	Departures(node string) departure.Store
	// RefusedEntries returns the numbers of invalid entries and heartbeats since the start.
	RefusedEntries() map[RefusedEntry]int64
	// OnStoreRestored registers a function that is called after each restoration of the platform's
	// store from an older copy of its data, which loses recent writes. It is called in the background
	// and may be called late.
	OnStoreRestored(restored func())
	// Envelope returns the names of the header fields of requests and answers.
	Envelope() callapi.Envelope
	// ServeInstances serves the heartbeats of the local instances until ctx ends.
	ServeInstances(ctx context.Context, listener net.Listener, instances Instances)
	// ServeReadiness answers the platform's readiness checks until ctx ends.
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool)
	// Close closes the adapter's connections.
	Close()
}
