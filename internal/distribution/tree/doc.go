// Package tree distributes the accepted configuration and the endpoints among the daemons. Every
// daemon is a Node. A few nodes of each zone, the readers, watch the accept register in the object
// API. Every other node is the child of one parent, so that the nodes of a zone form trees of
// bounded fan-out whose roots are the zone's readers. Updates and endpoints are sent down the tree,
// endpoints and status reports are sent up, and readers exchange endpoints with each other.
//
// A Node keeps its state in memory only: the holdings, the endpoint registry, the floor requests,
// the parent candidates and the observed seats. It owns one connection to its parent or, as a
// reader, one to each other reader, and one from each child. Each connection has one goroutine that
// receives and one that sends. A reader also runs the goroutines that renew its seat, watch the
// object API and do its periodic work. All of them end with the context of Run.
//
// The package depends on transport/peer to accept connections and read their Hello; on the packages
// holdings, endpoint, seat, revisionfloor, status and membership, which make the decisions; and on
// objectapi.Store while the node is a reader or has no parent.
//
// Invariants: Node.mutex protects all state of a node, is held for short computations only, and is
// never held while frames are sent. The revision in force never decreases and is never below the
// floor. A sender computes the frames for its peer at the time of sending, so that a slow peer uses
// no additional memory and receives the latest state in one update. Frames sent by a reader do not
// depend on its lease: a reader whose lease has lapsed still serves its children, but does not
// write to the object API.
//
// The files parent*.go implement the link to the parent, child*.go the links to the children,
// reader*.go the work of a reader, and link.go the exchange of frames that all links share.
package tree
