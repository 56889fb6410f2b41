// Package quarantine decides which requests no instance gets any more because instances crashed
// while they ran them (poison requests).
//
// A request may crash every instance that begins to run it, and come again under another id at
// any daemon. Only the daemon beside an instance sees it crash, and not which of the calls in
// flight did it. So each of them becomes a suspect: a key of what it asks for (package
// fingerprint) under which an instance crashed. An answer to such a request refutes the crashes,
// since what an instance has answered does not crash each instance. From notRepeatedAt crashes on
// a daemon does not retry a suspect, from quarantineAt on it is quarantined: no instance gets it,
// but for one trial, which may refute it.
//
// The package owns the registry of a daemon, in memory. It has no goroutines and does no I/O:
// the time is passed in, what changed is returned for the caller to spread to other daemons, and
// what must outlast all daemons is kept by the caller in a Store.
//
// What must hold: records merge by union, so that daemons may exchange them in any order and
// more than once; a request is quarantined only for callers that had one in flight in a crash;
// memory is bounded, and a caller that fills it makes the registry forget its own entries.
package quarantine
