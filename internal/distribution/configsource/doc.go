// Package configsource follows an outside source of the configuration and of the
// operators' orders, where the source itself decides which version is in force.
//
// What it is for. Each daemon runs a Follower. Of all followers about one polls the source
// at a time; the others learn from it, through other daemons' heartbeats, how fresh what
// they have in force is (Freshness), and poll themselves when that grows too old. Nobody is
// elected and nothing is written to the source, so that no daemon depends on another one to
// be alive, reachable or right about who polls.
//
// What it owns. The position up to which this daemon has read the source's history, the
// schedule of its polls, and the record of confirmations; all in memory, lost with the
// process. It starts no goroutine: Run works in its caller's.
//
// What it relies on. A Source whose answer contains all that was accepted before the poll began.
// Apply and ApplyOrders put a version in force before they return and advance Freshness. Ages
// are measured by boottime, because the source goes on while this machine is suspended.
//
// What must hold. A confirmation is never newer than the start of the poll that gave it. A
// version that cannot be used, an outage or a slow source leave in force what is in force,
// and the polls go on.
package configsource
