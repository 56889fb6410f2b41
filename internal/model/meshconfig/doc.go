// Package meshconfig implements the configuration model: pools, routes, secrets, shares
// and accounts. It parses proposals, validates a whole configuration, detects conflicts
// between proposals and divides the configuration into bundles, the unit of distribution.
//
// The package owns no state and does no I/O. A State is an immutable value at one revision,
// made from a proposal (Accept), an accepted revision (Advance), a stored snapshot
// (FromStored) or an outside source (Compose). Digests are those of package digest.
//
// Invariants: all daemons that apply the same revisions have the same digest; a bundle
// contains every object that it refers to; a proposal is accepted as a whole or refused
// with all its faults.
package meshconfig
