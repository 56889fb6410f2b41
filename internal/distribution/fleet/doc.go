// Package fleet connects the daemons of a fleet without a distribution tree: every daemon may read
// the configuration source itself, and daemons gossip over the connections that carry their calls.
//
// Operation. A daemon dials a bounded number of other daemons of each service (linkchoice.go). Over
// the connections of both directions it exchanges announcements of instances, the revisions in
// force and how recently they were confirmed (heartbeats), whole configurations on request,
// operators' orders, and suspect records, which name request keys under which an instance crashed.
// Daemons find each other through a Directory. A daemon that starts while the directory is
// unreachable is dialed by daemons that know its address, and asks one of them for the other
// members.
//
// Terms. A member is a daemon of the fleet with its address, zone and region. A peer is this
// daemon's record of another member. A link is an open connection to a peer: outbound if this
// daemon dialed, inbound if the peer did, so two daemons may have one of each. A peer is chosen
// while this daemon wants an outbound link to it.
//
// State. The package keeps the table of known daemons, in memory and for the life of the process.
// It runs one goroutine per outbound link, one per inbound link, and five for the directory, the
// links, the exchange of members, configuration requests and the reports to the Observer. Package callmux owns the
// connections below the links.
//
// Assumptions. callmux reports the end of a link, and numbers heartbeats so that a confirmation
// cannot look fresher than it is. The Directory may be stale by seconds. The Observer applies what
// it is offered. Ages are measured by boottime, because other daemons keep running while this
// machine is suspended.
//
// Invariants. A statement about an instance comes only from the daemon on its machine and is never
// forwarded, so statements need no order between daemons. Configurations, orders and suspect
// records are forwarded by each daemon to which they are new, so that they reach the whole fleet
// although no daemon is connected to all others. The number of links does not grow with the fleet.
// An address belongs to the daemon that answers there.
package fleet
