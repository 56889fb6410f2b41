// Package holdings keeps the bundles that a daemon holds at one revision,
// makes the updates that bring a child from any earlier revision to the
// present one, and applies received updates all at once or not at all.
//
// A delta is computed from the present state: every bundle knows the revision
// that last changed it, so no log of changes is kept and successive revisions
// merge by themselves when a receiver is slow.
package holdings
