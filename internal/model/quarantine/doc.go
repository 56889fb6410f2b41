// Package quarantine keeps requests that crash instances (poison requests) away from further
// instances.
//
// A poison request crashes every instance that starts to process it, and may arrive again under
// another id at any daemon. Only the daemon next to an instance observes the crash, and it cannot
// tell which of the requests in flight caused it. The registry therefore records the crash under
// the keys (package fingerprint) of every request in flight; a key with recorded crashes is a
// suspect. A response to a request with the key refutes these crashes, because an instance never
// gets to answer a poison request. From noRetryThreshold crashes on, a daemon does not retry the
// request on another instance. From quarantineThreshold crashes on, the request is quarantined:
// daemons refuse it, except for one trial, whose response would refute the crashes.
//
// The package holds the registry of one daemon in memory. It starts no goroutines and does no I/O:
// the caller passes in the time, sends changed records to other daemons, and keeps in a Store the
// records that must survive a restart of all daemons.
//
// Invariants: records merge by set union, so daemons can exchange them in any order and more than
// once; a request is quarantined only for callers that had such a request in flight in a crash;
// memory is bounded, and a caller that fills it evicts its own entries only.
package quarantine
