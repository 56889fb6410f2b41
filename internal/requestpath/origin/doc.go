// Package origin serves calls for the local instances: the back ends on the daemon's machine. All
// calls to them pass through it. It refuses calls that must not run, admits the others to the slots
// of their instance in fair order, and sends each attempt to an instance at most once.
//
// The package owns the local instances (instance.go): the state, the queue (package admission), the
// connections and the calls in flight of each one. It also owns the deduplication of attempts and
// idempotency keys (dedup.go). All of this is kept in memory and is lost when the daemon ends; only the
// departures of instances outlast it (departure.go, with the rules of package departure). Run
// starts one goroutine per instance, which monitors its state, and a short-lived one per probe; all
// of them end with Run's context. A drain starts a goroutine that ends with the instance's last
// call, and a streamed request body is written to the instance by a goroutine of its own.
//
// Call flow: Handle (handle.go) checks the conditions for a refusal (refusal.go lists their order)
// and waits for a slot; handOver (handover.go) sends the call (backend.go, exchange.go) and returns
// the response (response.go). The end of the response releases the slot. The result of each call
// goes to health.go and crash.go, which apply the rules of liveness.go. Heartbeats arrive through
// Heartbeat and Register (registration.go, with the rules of incarnation.go) and determine whether an instance is
// up, drains (drain.go) or is in slow start (coldness.go). What an instance states about itself in its
// responses (statement.go) limits the rate of its calls or drains it.
//
// The package depends on the instances' heartbeats, or on connection probes for instances that send
// none; on the configuration in force, which Configure applies; on a CrashReporter for crashes at
// other daemons; on the monotonic clock, which stops together with the instances while the machine
// is suspended; and on the time since boot for connections and callers, whose time continues.
//
// Invariants: a refusal proves that the attempt did not run; an attempt is sent at most once, and
// does not start after Fence has returned; after Register with Draining, Withdraw or
// SetEvacuated(true) has returned, no call starts at the instances concerned, and running calls
// continue to their end; each slot is released, even if the call panics.
package origin
