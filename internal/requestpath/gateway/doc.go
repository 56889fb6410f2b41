// Package gateway is the HTTP entry point for callers. It finds the route of each request in the
// current configuration, chooses an instance, forwards the call to the daemon beside that instance,
// and retries where that is safe. Every answer that the gateway itself generates carries a result
// code and states whether the call was not run or may have run.
//
// A request passes through these files: gateway/pipeline reads it, serve.go finds its route,
// deadline.go sets its deadline, quarantine.go checks it, attempts.go makes attempts until one is
// answered, and deliver.go passes the answer on or refused.go writes an error answer.
//
// The decision rules are in other packages: balance chooses the instance, retry decides about
// further attempts, refusal limits waiting times and sets Retry-After, and quarantine decides which
// requests are held back.
//
// The package owns the callers' connections (package pipeline) and their goroutines, the retry
// budget, the usual deadlines and answer sizes of the routes, and the request bodies held for the
// quarantine check. All of this is kept in memory and is empty after a start of the daemon.
//
// The package relies on the current snapshot for routes, on the balancer for the state of
// instances, and on Local and Remote to report correctly whether a call ran.
//
// Invariants: A call that may not be repeated reaches at most one instance that may run it. "Not
// run" is reported only for a call that no instance may have run. A call in flight completes under
// the configuration under which it was read. Each attempt, answered or failed, ends the load that
// it began at its instance.
package gateway
