// Package retry holds the rule of when a call is tried again, and the budget that bounds
// retries. It is what a daemon consults after each attempt that brought no answer.
//
// The rule (Decide, MayReplace, EndingOf) is made of pure functions. Callers classify the
// failure (ReasonOf), keep the Counts of a call between its attempts, and hold no part of
// the rule themselves. Which failure leads to which step:
//
//	reason      what is known                                  next step
//	NotReached  no instance saw the call, load is not why      again elsewhere, up to 5 times
//	NoRoom      no instance saw the call, it is full or cold   again elsewhere, up to 2 times
//	Shed        the instance refused it before it ran          again within the budget
//	MayHaveRun  handed over, the answer is lost or not whole   again within the budget, if the call
//	                                                           may be repeated and did not crash two
//	                                                           instances
//	Final       anything else                                  give up
//
// Nothing is tried again once the call's time is over, its body cannot be sent a second time,
// or a part of an answer went to the caller. A call that is itself a retry of a level above
// is never tried again within the budget, so that the levels of a chain do not multiply.
//
// Budget is a token bucket for each service: calls fill it, retries that an instance may see
// take from it. It owns its counts, starts no goroutine and does no I/O. It relies on its user
// to call Earn once for each call and Spend only after Decide asked for it.
//
// What must hold: a call that may not be repeated reaches at most one instance that may run
// it, and over all daemons the retries of a service stay within its limits.
package retry
