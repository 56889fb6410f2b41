// Package seat decides who reads from the object API. Each zone has a few seats, each an object
// with a lease. Whoever holds a seat is a reader; all others get the configuration from readers.
//
// No machine's clock is compared with another's: an observer takes a lease as lapsed when it has
// seen no renewal for the lease's length on its own clock, and a holder counts its lease from
// before it sent the renewal. Every write by a holder names the version of its last renewal, so
// that a holder that was paused past its lease can do no harm.
//
// It owns the holder's Lease and an observer's Table of one daemon, in memory; no
// goroutines, connections or files. It relies on the object API's compare-and-swap writes
// and on a clock that goes on while the machine is suspended (package boottime).
//
// What must hold: two daemons may believe that they hold one seat for a time, but only one
// of them can write under it; a seat is never taken from a holder that could not renew
// because the object API could not be reached.
package seat
