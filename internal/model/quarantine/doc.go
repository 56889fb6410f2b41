// Package quarantine decides which requests are held back because instances crashed while they
// ran them (poison requests).
//
// A request may crash every instance that begins to run it, and come again under another id
// at any daemon. Only the daemon beside an instance sees it crash; it cannot see which of the
// calls in flight did it. So all of them become suspects, under the keys of what they ask for
// (package fingerprint). An answer refutes: what an instance has answered does not crash each
// instance. From notRepeatedAt crashes on a suspect is not sent to another instance by itself, from
// quarantineAt on it is quarantined: no instance gets it, but for one trial.
//
// The vocabulary: a suspect is a key under which an instance crashed; it is quarantined once held
// back, and refuted once answered; a trial is the one run of a quarantined request that may
// refute it.
//
// The package owns the registry of a daemon, in memory. It has no goroutines and does no I/O:
// the time is passed in, what changed is returned for the caller to spread to other daemons, and
// what must outlast all daemons is kept by the caller in a Store.
//
// What must hold: records merge by union, so that daemons may exchange them in any order and
// more than once; a request is quarantined for those callers only of which one was in flight in
// a crash; memory is bounded, and a caller that fills it makes the registry forget its own.
package quarantine
