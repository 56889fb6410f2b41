// Package backendstub is a stand-in for a back end: a server with slots, a
// connection limit, a cost for each new connection, a cold start, shedding,
// cancellation, a load endpoint that may mislead, and faults that can be
// switched on while it runs. A ledger shared by all stand-ins notes every
// execution of every call, so that a call that ran twice is seen.
package backendstub
