// Package allowance implements distributed rate limiting: limits on the call rate and the burst of
// an account that hold over all daemons together.
//
// Design. Each allowance has one owner among the daemons, which keeps its token bucket (bucket.go).
// The other daemons request credit from it when a call arrives (asker.go), with one message for
// several waiting calls. A daemon that reaches no owner has a small local reserve (reserve.go).
// docs/design/0028 compares alternatives.
//
// Terms. An allowance is a named limit. One credit permits one call. A view is the list of the
// daemons that may own allowances, as one daemon sees it (ranking.go). A vote is the view that a
// daemon has sent to an owner (votes.go).
//
// State. Participant is one daemon's part in the protocol. It is kept in memory only and uses no
// goroutines, clocks or network: times and messages are passed in. Service adds a lock, lets calls
// wait, and sends the messages that Participant returns.
//
// Assumptions. Messages of one connection arrive in order and at most once, and the end of a
// connection arrives after everything sent on it. Times come from boottime, since credit ages while
// a machine is suspended. Clocks of different daemons are never compared.
//
// Invariants. In any window, all daemons together permit no more calls than Bounds allows. This
// follows from these rules: a daemon neither lends nor votes before it knows the fleet, by the directory
// or by a daemon that knows it; an owner's bucket starts empty, holds at most the burst and fills at
// the limit's rate; the rate is scaled by the fraction of daemons that see this owner in their
// view, and each daemon states one view at a time (votes.go); credit expires soon after it was
// lent; the reserves of all daemons together stay within a part of the slack and overshoot.
package allowance
