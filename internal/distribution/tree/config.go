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

// Config holds the identity, settings and dependencies of a Node.
type Config struct {
	// Node is the stable name of the machine. Incarnation distinguishes successive processes on the
	// machine and must increase.
	Node        string
	Incarnation uint64
	Zone        string
	Region      string
	// Address is the address at which other daemons connect to this one.
	Address string
	// Seeds are the addresses of other daemons that are tried first as parents.
	Seeds []string
	// Interest is the set of services whose configuration this daemon needs itself.
	Interest holdings.Interest
	Tunables tunables.Distribution
	Network  wire.Network
	Store    objectapi.Store
	// Counters counts the traffic of all links.
	Counters *wire.Counters
	// Random orders the parent candidates. The node uses it only while it holds its mutex.
	Random *rand.Rand
	Logger logr.Logger
	// Observer must not be nil.
	Observer Observer
	// NoSeat prevents the node from becoming a reader.
	NoSeat bool
}

// Applied is a verified configuration version that the request path must put in force.
type Applied struct {
	Revision           uint64
	AcceptedUnixMillis int64
	// Bundles holds the bundles of the node's own services. Neither the map nor its values are
	// modified after Apply.
	Bundles map[string]*lapisv1.EncodedBundle
}

// Observer receives the output of a node. The node calls its methods with its mutex held, so they
// must return quickly and must not call back into the node.
type Observer interface {
	// Apply puts a version in force. Revisions never decrease.
	Apply(Applied)
	// Endpoints reports that the endpoints of a service changed.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
}

// Role is the position of a node in the tree.
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
	// InForce is the revision last passed to the observer, 0 before the floor is known.
	InForce    uint64
	FloorKnown bool
	// HasReaderPath is true while there is a path to a reader.
	HasReaderPath bool
	Children      int
	// Depth is the number of nodes on the path from the reader, itself included: 1 for a reader and
	// 0 without a path.
	Depth     int
	Endpoints int
	// SeatState is the state of the seat lease, empty for a node that is not a reader.
	SeatState string
	// Joins counts the parents that accepted this node, Resyncs the updates that could not be
	// applied, JoinsServed the children admitted and JoinsRefused the children refused.
	Joins, Resyncs, JoinsServed, JoinsRefused int64
}

func (c *Config) heartbeat() time.Duration { return c.Tunables.HeartbeatInterval.Get() }
