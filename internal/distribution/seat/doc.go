// Package seat implements leases that decide which daemons read from the object API. Each zone has
// a few seats, each stored as an object with a lease. The holder of a seat is a reader; all other
// daemons get the configuration from readers.
//
// Clocks of different machines are never compared. An observer considers a lease expired if it has
// seen no renewal for the lease's duration on its own clock, and a holder counts its lease from
// before it sent the renewal. Every write by a holder names the version of its last renewal, so
// that the writes of a holder that was paused past its lease are rejected.
//
// The package keeps one daemon's Lease, as a holder, and Table, as an observer, in memory. It has
// no goroutines, connections or files. It relies on the compare-and-swap writes of the object API
// and on a clock that keeps running while the machine is suspended (package boottime).
//
// Invariants: two daemons may both believe for a time that they hold a seat, but only one of them
// can write under it; a seat is never taken from a holder that could not renew because the object
// API was unreachable.
package seat
