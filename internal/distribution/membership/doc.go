// Package membership holds the rules by which daemons form the distribution tree: whom a daemon
// asks to become its parent (Candidates), whom a parent accepts and what it answers to the
// others (DecideJoin, RefuseJoin, Redirects), when a daemon without a parent asks the object API
// (SourceBackoff), and who becomes a reader (Rank, MayTakeSeat, BestReader).
//
// It owns what one daemon remembers of others (Candidates) and its waits (SourceBackoff); it has
// no goroutines, connections or files. The clock and the randomness are passed in. It relies on
// package tree to call it under the node's lock and to carry out what it decides.
//
// What must hold: all daemons with the same machine list rank it alike; a daemon that is
// refused by all readers is accepted by someone in the end; no rule lets a loop or a
// tree deeper than its bound arise.
package membership
