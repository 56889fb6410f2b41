// Package origin is the part of a daemon beside back ends. It is the only way to them: it refuses
// what must not run, admits the rest to the slots of its instance in fair order, and hands each
// attempt over at most once.
//
// The package owns the instances beside the daemon (instance.go): the state of each one, its queue
// (package admission), its connections, and the calls that it has. It owns what is remembered of
// attempts and idempotency keys (dedup.go). All of it is in memory and ends with the daemon. Run
// starts one goroutine for each instance, which follows its state, and a short one for each probe;
// all of them end with Run's context. A drain starts one that ends with the instance's last call,
// and a body that its caller still sends is written to the instance by one of its own.
//
// The way of a call: Handle (handle.go) looks at what refuses it (refusal.go has the order), waits
// for a slot, and run (handover.go) sends it (backend.go, exchange.go) and returns the
// answer (response.go), whose end gives the slot back. What the call showed of its instance goes to
// health.go and crash.go, which act on the rules of liveness.go. Heartbeats come by Register
// (registration.go, with the rules of incarnation.go) and tell whether an instance is up, drains
// (drain.go) or is in slow start (coldness.go).
//
// It relies on the instances' heartbeats, or on probes for a connection where an instance sends
// none; on the configuration in force, which Configure brings; on a CrashReporter for what is known
// of crashes elsewhere; on the steady clock, which stands with the instances while the machine is
// suspended, and on the time since boot for connections and callers, which do not.
//
// What must hold: a refusal proves that the attempt did not run; an attempt is handed over at most
// once, and never after Fence said so; from the return of Register with Draining, Withdraw or
// SetEvacuated(true) on no call starts at the instances concerned, and those that run go on to
// their end; each slot is given back, also by a call that panics.
package origin
