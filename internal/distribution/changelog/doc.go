// Package changelog keeps the log of accepted configurations in the object API, for readers that
// follow it and operators who propose and accept. The object "log/head" is the accept register:
// a compare-and-swap write of it accepts a proposal, so that racing operators have one winner.
// Before head moves on, the revision it held is archived under "revisions/", and from time to
// time the whole state is stored under "snapshots/" so that old revisions can be deleted.
//
// An acceptor that was paused for long can do no harm: its write of head carries a version that
// no longer matches, and what it archives is an immutable copy of a revision that was accepted.
//
// It owns the objects under "log/", "revisions/", "snapshots/" and "proposals/", and a
// cache of the newest state in each Log; no goroutines or connections. It relies on the
// object API's compare-and-swap writes and on package meshconfig to validate and apply.
//
// What must hold: every revision below head is archived or covered by a stored snapshot;
// a revision never changes; the cached revision never decreases.
package changelog
