// Package membership implements the rules by which daemons form the distribution tree: which daemon
// to ask to become the parent (Candidates), which children a parent accepts and how it answers the
// others (DecideJoin, RefuseJoin, Redirects), when a daemon without a parent queries the object API
// (SourceBackoff), and which daemon becomes a reader (Rank, MayTakeSeat, BestReader).
//
// The package keeps a daemon's memory of other daemons (Candidates) and its waits (SourceBackoff).
// It has no goroutines, connections or files; the clock and randomness are passed in. Package tree
// calls it under the node's lock and carries out its decisions.
//
// Invariants: all daemons with the same machine list compute the same ranks; a daemon that all
// readers refuse is eventually accepted by another daemon; no rule permits a loop or a tree deeper
// than its bound.
package membership
