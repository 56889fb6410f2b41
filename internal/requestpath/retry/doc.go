// Package retry decides whether a failed attempt at a call is retried, and holds the budget that
// limits retries. A daemon consults it after each attempt without a usable answer.
//
// The rule (Decide, MayReplace, EndingOf) consists of pure functions. Callers classify the failure
// (ReasonOf), keep the Counts of a call between its attempts, and contain no part of the rule
// themselves. Next step by failure reason:
//
//	reason      known facts                                    next step
//	NotReached  no instance saw the call, not due to load or   other instance, up to 5 times
//	            due to a limit of that instance alone
//	NoCapacity  no instance saw the call: it is full or cold   other instance, up to 2 times
//	Shed        the instance refused the call before it ran    retry within the budget
//	MayHaveRun  call handed over, answer lost or incomplete    retry within the budget, if the call
//	                                                           may be repeated and did not crash two
//	                                                           instances
//	Final       anything else                                  give up
//
// Nothing is retried once the time of the call is over, its body cannot be sent again, or a part of
// an answer was forwarded to the caller. A call that is itself a retry by a caller further up the
// chain is never retried within the budget, so that retries of several levels do not multiply.
//
// Budget is a token bucket for each service: calls fill it, and retries that an instance may see
// take from it. It starts no goroutine and does no I/O. Callers must call Earn once for each call,
// and Spend only if Decide returned RetryWithinBudget. With limits for a window of time, it counts
// the calls and retries of the window (slidingWindow), rounds what is less than one retry so that the
// sum over many daemons is right (roundingOffset), and keeps most retries for calls whose callers do
// not come back after a refusal (Try, comebackRate). Its state is some 0.9 kB a service and does not
// grow with the fleet.
//
// Invariants: a call that is not repeatable reaches at most one instance that may run it; over all
// daemons, the retries of a service stay within its limits.
package retry
