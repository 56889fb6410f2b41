// Package changelog stores the log of accepted configurations in the object API. Readers follow the
// log; operators propose changes and accept them. The object "log/head" is the accept register: a
// compare-and-swap write of it accepts a proposal, so that exactly one of several concurrent
// operators succeeds. The revision in the register is archived under "revisions/" before it is
// replaced. The whole state is stored periodically under "snapshots/", so that old revisions can be
// deleted.
//
// A daemon that was paused for a long time while it accepted a proposal cannot overwrite newer
// state: its write of the register has a version that no longer matches, and it only archives
// immutable copies of accepted revisions.
//
// The package owns the objects under "log/", "revisions/", "snapshots/" and "proposals/", and a
// cache of the newest state in each Log. It has no goroutines or connections. It depends on the
// compare-and-swap writes of the object API, and on package meshconfig to validate and apply
// changes.
//
// Invariants: every revision below the head is archived or covered by a stored snapshot; a revision
// never changes; the cached revision never decreases.
package changelog
