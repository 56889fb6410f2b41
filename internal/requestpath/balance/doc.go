// Package balance chooses the instance for a call, in two stages like a scheduler's: a
// filter (filter.go) drops the instances that may not or should not get the call, then a
// score (cost.go or load.go) ranks those that are left. The rules are pure: the time and the source of
// randomness are passed in.
//
// A daemon's own observations (calls in flight, service times, failures) weigh more than
// what instances report, and both more than what lists say, because reports and lists lag
// or mislead.
//
// The package owns, for each instance of each service, the observations of this daemon, in
// memory only: they are lost when the daemon restarts. It has no goroutines, connections or
// files. It relies on its callers for the endpoints (Balancer.Update, from the distribution
// plane), for the configuration in force (package snapshot) and for a note of each outcome
// (the methods of Target).
//
// What must hold: no instance that a constraint forbids is ever chosen; suspicion alone never
// empties a pool; repetitions with one idempotency key rank the instances in the same order
// at every daemon.
package balance
