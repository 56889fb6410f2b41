// Package holdings keeps the bundles that a daemon holds at one revision. It computes the updates
// that bring a child from any earlier revision to the current one, and applies received updates
// atomically.
//
// A delta is computed from the current state: every bundle contains the revision that last changed
// it. Therefore no change log is needed, and a slow receiver gets several revisions merged into one
// update.
//
// The package keeps the bundles of one daemon in memory and has no goroutines, connections or
// files. It depends on package digest for the digest of a set of bundles, and on meshconfig to
// decode and check a bundle. Interest is the set of services that a daemon subscribes to.
//
// Invariants: the revision never decreases; the bundles are always those of one revision, for
// exactly the services of the interest; a bundle is never modified in place, so that others may
// keep references to it.
package holdings
