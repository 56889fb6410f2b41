// Package operator serves the operators' interface of a daemon: it
// authenticates operators by token, checks that they touch only objects of
// their own group, and reads and extends the log of accepted configurations.
// Any daemon can serve it, because all it needs is in the platform.
//
// It owns the listener and connections of the interface, a cache of the accepted
// configuration and one of the operators; nothing that must last. It relies on package
// changelog to accept and to read revisions, on meshconfig to parse and validate, on the
// status that readers write beside their seats, and on the tree's node for back ends.
//
// What must hold: operators change only what belongs to their group, whoever proposed it; no
// answer shows a private key; every failure carries a numbered code; a change that is repeated
// with the same operation id takes effect once.
package operator
