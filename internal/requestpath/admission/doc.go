// Package admission decides which call may use a back end's slots next, which ones wait and
// which are refused at once.
//
// A slot is the right to have one call at the back end. Slots are shared between groups by
// weighted fair queueing over the time that calls occupy them (fairness.go), and the calls of
// one group are ordered by urgency (order.go). Where callers have accounts, the calls of all of them
// wait in one order, in which urgency goes before shares (account.go). Two bounds hold beside the number of slots: an
// adaptive concurrency limit (limit.go) that falls when the back end sheds load, and a token
// bucket (pace.go) for a back end in slow start. Whether an arriving call starts,
// waits or is refused, and when a refused one may come back, is decided in decision.go.
//
// The package owns one Queue for each back end: its waiting calls, the counts of running ones, its
// limit and its bucket. It starts no goroutines; a timer runs while calls wait for a token. Nothing
// is stored: a daemon that starts anew begins with an empty bucket and a full limit.
//
// It relies on a steady clock, which the caller passes in, and on its callers to release each
// slot once. It does no I/O and does not know instances, routes or services.
//
// What must hold: at most the limit of calls run at once; in no second more calls are admitted
// than the burst and the rate of the pace together; a refusal proves that the call did not
// start; a call that waits is granted, refused or abandoned exactly once.
package admission
