// Package operator implements the HTTP interface of a daemon for operators: it
// authenticates operators by token, authorizes changes by the group that owns an
// object, and reads and extends the log of accepted configurations. Any daemon can
// serve the interface, because its persistent state is in the platform.
//
// The package owns the listener and connections of the interface and caches of the
// accepted configuration and of the operators, none of which is persistent. It uses
// package changelog to accept and read revisions, meshconfig to parse and validate
// proposals, the status that readers write to their seats, and the distribution tree's
// node as the source of back ends.
//
// Invariants: an operator can only accept changes of objects of their own group, also if
// another operator proposed them; no answer contains a private key; every failure has a
// result code; a change repeated with the same operation id takes effect once.
package operator
