// Package fleet is a daemon's part in a fleet without a tree: every daemon may read the
// configuration source itself, and daemons gossip over the connections that carry their calls.
//
// What it is for. A daemon dials a bounded number of other daemons of each service (the
// rule is in linkchoice.go). Over the connections of both directions it exchanges
// announcements of instances, revisions in force and how recently they were confirmed
// (heartbeats), whole configurations on request, operators' orders, and records of
// suspects, which are request keys under which an instance crashed. Daemons find each other
// through a Directory; one that starts while the directory is out of reach is dialed by
// those that know its address and asks one of them for the other members.
//
// Terms. A member is a daemon of the fleet with its address and place; a peer is what this
// daemon knows of another member; a link is an open connection to a peer, outbound where
// this daemon dialed and inbound where the other one did, so that two daemons may have one of
// each. A peer is chosen while this daemon wants an outbound link to it.
//
// What it owns. The table of known daemons, for the life of the process and in memory only;
// the links that this daemon opened, one goroutine each; one goroutine for each link that
// another daemon opened; four goroutines for the directory, the links, the catching up and
// the reports to the Observer. callmux owns the connections below the links.
//
// What it relies on. callmux reports the end of a link and numbers heartbeats so that a
// confirmation cannot look fresher than it is; the Directory may be stale by seconds;
// the Observer puts in force what it is offered. Ages are measured by boottime, because
// others go on while this machine is suspended.
//
// What must hold. A statement about an instance comes only from the daemon beside it and is
// never passed on, so that statements need no order among daemons. Configurations, orders
// and suspects are passed on by each daemon to which they are new, so that they reach a
// fleet in which nobody is connected to everybody. The number of links does not grow with
// the fleet. An address belongs to the daemon that answers there.
package fleet
