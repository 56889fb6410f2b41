// Package tree distributes the accepted configuration and the endpoints among the daemons. Every
// daemon is a Node. Readers, a few in each zone, follow the accept register in the object API;
// every other node is the child of one parent, so that the nodes of a zone form trees of bounded
// fan-out with the zone's readers as roots. Updates and endpoints flow down, endpoints and
// status reports flow up, and readers exchange endpoints with each other.
//
// It owns, in memory only: the holdings, the endpoint registry, the floor requests, the
// candidates for a parent and the view of the seats of one daemon; one connection to the
// parent, or to each other reader, and one from each child; for each connection a
// goroutine that receives and one that sends; and for a reader the goroutines that renew
// its seat, watch the object API, and do its periodic work. All of it ends with the
// context of Run. Nothing is kept on disk.
//
// It relies on transport/peer to accept connections and read their Hello, on the packages
// holdings, endpoint, seat, revisionfloor, status and membership for every decision, and
// on objectapi.Store while the node is a reader or has no parent.
//
// What must hold: Node.mutex protects all of a node's state, is held for short
// computations only, and frames are sent outside it. The revision in force never
// decreases and is never below the floor. A sender computes what its peer lacks at the
// moment it sends, so that a slow peer costs no memory and gets the latest state in one
// update. Nothing a reader sends depends on its lease: a reader whose lease lapsed may
// still serve its children, but writes nothing to the object API.
//
// Where to read: parent*.go is the link upwards, child*.go the links downwards,
// reader*.go what a reader does besides, link.go the exchange of frames that they share.
package tree
