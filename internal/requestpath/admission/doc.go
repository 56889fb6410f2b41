// Package admission decides which call uses a slot of a back end next, which calls wait and which
// are refused immediately.
//
// A slot is the right to run one call at the back end. Slots are shared between groups by weighted
// fair queueing over the time that calls hold them (fairness.go), and the calls of a group are
// ordered by urgency (order.go). If callers have accounts, the calls of all accounts wait in one
// order, in which urgency goes before shares (account.go). Two limits apply in addition to the
// number of slots: an adaptive concurrency limit (limit.go), which decreases when the back end
// sheds load, and token buckets for a back end in slow start (pace.go) and for one that states how many
// calls per second it accepts (ratelimit.go). decision.go decides whether an arriving call starts,
// waits or is refused, and when the caller of a refused call may retry.
//
// The package holds one Queue for each back end, with its waiting calls, the counts of running
// ones, its limit and its buckets. It starts no goroutines; a timer runs while calls wait for a
// token. Nothing is stored: after a restart the daemon begins with empty buckets and a full limit.
//
// The caller supplies a monotonic clock and must release each slot once. The package does no I/O
// and knows nothing about instances, routes or services.
//
// Invariants: the number of running calls never exceeds the limit; in any second at most the burst
// plus the rate of the pace, and of the rate limit, are admitted; a refused call did not start; a
// waiting call is granted a slot, refused or abandoned exactly once.
package admission
