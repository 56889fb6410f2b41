// Package allowance keeps limits that all daemons share: so many calls a second of an account,
// and so many at once above that, wherever its callers ask.
//
// What it is for. Each allowance has one owner among the daemons, which keeps its token bucket
// (bucket.go). The others ask it for credit when a call wants to go (asker.go), several calls in
// one message where they wait together. A daemon that reaches no owner has a small reserve
// (reserve.go). docs/design/0028 weighs other ways.
//
// Terms. An allowance is a limit by name; credit is the right to let one call go; a view is the
// list of the daemons that may own allowances, as one daemon sees them (ranking.go); a vote is
// the view that a daemon stated to an owner (votes.go).
//
// What it owns. Part, this daemon's share of it all, in memory only and without goroutines, clocks
// or a network: times and messages are passed in. Service puts a lock around it, lets calls wait
// and sends what Part hands out.
//
// What it relies on. Messages of one connection arrive in order and at most once, and the end of
// a connection follows what was sent on it; times are those of boottime, since credit ages while a
// machine is suspended. Nothing is compared between the clocks of two daemons.
//
// What must hold. In no window are more calls let go than Bounds allow, summed over all daemons.
// In parts: an owner lends a bucket that holds at most the burst and fills at the limit's rate, and
// starts empty; it fills in proportion to the daemons that see its owner in it, each of which sees
// one owner at a time (votes.go); credit is spent soon after it was lent, or not at all; the
// reserves of all daemons together stay within a part of the slack and overshoot.
package allowance
