// Package configsource follows an external source of the configuration and of the operators'
// orders. The source decides which version is in force.
//
// Each daemon runs a Follower. About one of all followers polls the source at a time. The others
// learn from the heartbeats of other daemons how recently the versions in force were confirmed
// (Freshness), and poll themselves when that confirmation becomes too old. There is no election and
// no write to the source, so that no daemon depends on another one being alive, reachable or
// correct about which daemon polls.
//
// A Follower holds, in memory only, the position up to which this daemon has read the source's
// history, the schedule of its polls and the record of confirmations. It starts no goroutine; Run
// works in the goroutine of its caller.
//
// The package requires a Source whose answer contains everything accepted before the poll began.
// Apply and ApplyOrders must put a version in force before they return, and advance Freshness. Ages
// are measured with boottime, because the source continues to change while this machine is
// suspended.
//
// Invariants: a confirmation is never newer than the start of the poll that it results from. An
// unusable version, an outage or a slow source does not change the versions in force, and polling
// continues.
package configsource
