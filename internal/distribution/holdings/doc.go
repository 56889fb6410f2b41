// Package holdings keeps the bundles that a daemon holds at one revision,
// makes the updates that bring a child from any earlier revision to the
// present one, and applies received updates all at once or not at all.
//
// A delta is computed from the present state: every bundle knows the revision
// that last changed it, so no log of changes is kept and successive revisions
// merge by themselves when a receiver is slow.
//
// It owns one daemon's bundles, in memory; no goroutines, connections or files. It relies
// on package digest for the digest of a set of bundles and on meshconfig to decode and
// check one. Interest is a set of services; a daemon subscribes to one.
//
// What must hold: the revision never decreases; the bundles are always those of one
// revision, for exactly the services of the interest; a bundle is never changed in place,
// so that others may keep it.
package holdings
