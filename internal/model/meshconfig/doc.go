// Package meshconfig is the model of the configuration: pools, routes, secrets
// and shares. It parses proposals, validates a whole configuration, decides
// conflicts between proposals and cuts the configuration into bundles, the
// unit of distribution.
//
// It owns nothing and does no I/O: a State is a value at one revision, made from a proposal
// (Accept), from an accepted revision (Advance), from what is stored (FromStored) or from an
// outside source (Compose). It relies on package digest.
//
// What must hold: every daemon that applies the same revisions has the same digest; a bundle
// refers to nothing that it lacks; a proposal is accepted whole or refused with every fault.
package meshconfig
