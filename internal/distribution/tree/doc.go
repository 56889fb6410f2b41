// Package tree distributes the accepted configuration and the endpoints among
// the daemons. Every daemon is a Node. Readers, a few in each zone, follow the
// accept register in the object API; every other node is the child of one
// parent, so that the nodes of a zone form trees of bounded fan-out with the
// zone's readers as roots. Updates and endpoints flow down, endpoints and
// status reports flow up, and readers exchange endpoints with each other.
//
// Node.mutex protects all of a node's state. Goroutines hold it for short
// computations only; frames are sent outside it. Each link has a goroutine
// that receives and one that sends; the sender computes what its peer lacks at
// the moment it sends, so that a slow peer costs no memory and gets the latest
// state in one update.
package tree
