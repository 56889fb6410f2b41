// Package gateway takes callers' HTTP requests, finds their route in the configuration in
// force and sees each call through: it chooses an instance, hands the call to the daemon
// beside it, and tries again where that is safe. Every answer of the system's own carries a
// numbered result and says whether the call was not run or may have run.
//
// The way of a request through the files: gateway/pipeline reads it, serve.go finds its route,
// deadline.go bounds its time, quarantine.go checks it, attempts.go makes attempts until one is
// answered, deliver.go passes the answer on, refused.go writes the answer where there is none.
//
// The rules are elsewhere: which instance, package balance; whether to try again, package
// retry; how long to wait and when to come back, package refusal; what is held back, package
// quarantine.
//
// It owns the callers' connections (package pipeline) and their goroutines, the retry budget,
// the usual deadlines and answer sizes of the routes, and the bodies held for the quarantine.
// All of it is in memory and starts empty with the daemon.
//
// It relies on the snapshot in force for routes, on the balancer for the state of instances,
// and on Local and Remote for a correct report of whether a call ran.
//
// What must hold: a call that may not be repeated reaches at most one instance that may run
// it; "not run" is said only of a call that no instance may have run; a call in flight is
// served to its end under the configuration that it was read with; each answered or failed
// attempt ends the load that it began at its instance.
package gateway
