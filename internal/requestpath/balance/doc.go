// Package balance selects the instance that receives a call. Selection has two stages, as in a
// scheduler: a filter (filter.go) removes the instances that cannot or should not receive the call,
// then a scoring function (cost.go or load.go) ranks the remaining ones. The rules are pure
// functions: the time and the source of randomness are parameters.
//
// Observations of this daemon (calls in flight, service times, failures) have more weight than
// values reported by instances, and both have more weight than endpoint lists, because reports and
// lists can be stale or wrong.
//
// The package holds this daemon's observations of each instance of each service, and what the
// instances stated about themselves (statement.go). They are kept in memory only and are lost when the
// daemon restarts. The package starts no goroutines and opens no connections or files. Callers supply
// the endpoints (Balancer.Update, from the distribution plane), the configuration in force (package
// snapshot) and the outcome of each call (the methods of Target).
//
// Invariants: an instance that a constraint excludes is never selected; a pool is never emptied by
// health checks alone; every daemon ranks the instances for an idempotency key in the same order.
package balance
