package tree

import (
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Config is what a Node needs from its surroundings.
type Config struct {
	// Node is the machine's stable name; Incarnation distinguishes successive processes
	// on it and must grow.
	Node        string
	Incarnation uint64
	Zone        string
	Region      string
	// Address is where other daemons reach this one.
	Address string
	// Seeds are addresses of other daemons to ask first.
	Seeds []string
	// Interest names the services that this daemon itself needs.
	Interest holdings.Interest
	Tunables tunables.Distribution
	Network  wire.Network
	Store    objectapi.Store
	// Counters receives the traffic of all links.
	Counters *wire.Counters
	// Random chooses among candidates; the node alone uses it, under its lock.
	Random *rand.Rand
	Logger logr.Logger
	// Observer must not be nil.
	Observer Observer
	// NoSeat keeps the node from ever becoming a reader.
	NoSeat bool
}

// Applied is a version that the node has verified and that the request path must put in force.
type Applied struct {
	Revision           uint64
	AcceptedUnixMillis int64
	// Bundles holds the node's own services. The map and its values are never
	// changed afterwards.
	Bundles map[string]*lapisv1.EncodedBundle
}

// Observer receives a node's output. Its methods are called with the node's
// lock held, so they must be quick and must not call back into the node.
type Observer interface {
	// Apply puts a version in force. Revisions never decrease.
	Apply(Applied)
	// Endpoints reports that the endpoints of a service changed.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
}

// Role is a node's place in the tree.
type Role string

const (
	// RoleLeaf has no children.
	RoleLeaf Role = "leaf"
	// RoleRelay has children and a parent.
	RoleRelay Role = "relay"
	// RoleReader holds a seat and follows the object API.
	RoleReader Role = "reader"
)

// Info is a snapshot of a node's state for metrics and tests.
type Info struct {
	Node     string
	Zone     string
	Role     Role
	Revision uint64
	// InForce is the revision that was handed to the observer, 0 before the floor is known.
	InForce    uint64
	FloorKnown bool
	// Rooted is true while there is a path to a reader.
	Rooted   bool
	Children int
	// Depth is the number of nodes on the path, 1 for a reader and 0 without a path.
	Depth     int
	Endpoints int
	// SeatState is empty for a node that is not a reader.
	SeatState string
	// Joins counts accepted parents, Resyncs digest mismatches, JoinsServed
	// children admitted and JoinsRefused children turned away.
	Joins, Resyncs, JoinsServed, JoinsRefused int64
}

func (c *Config) heartbeat() time.Duration { return c.Tunables.HeartbeatInterval.Get() }
