// Package seat decides who reads from the object API. Each zone has a few
// seats, each an object with a lease. Whoever holds a seat is a reader; all
// others get the configuration from readers.
//
// No machine's clock is compared with another's: an observer takes a lease as
// lapsed when it has seen no renewal for the lease's length on its own clock,
// and a holder counts its lease from before it sent the renewal. Every write
// by a holder names the version of its last renewal, so that a holder that was
// paused past its lease can do no harm.
package seat
