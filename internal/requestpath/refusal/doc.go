// Package refusal holds the rules of refusing or waiting: how long a call may wait for a
// slot, when too little time is left for it to start, and when a refused caller may come back
// (the Retry-After of the answer).
//
// A call that cannot be answered in time is refused as early as that is known, while its
// caller has time to come back. The rules are pure functions of times; the gateway passes in
// clock and randomness and states the bounds to the daemon beside the instance, which
// enforces them in its queue (package admission).
//
// The package owns no state, and relies on times of one clock: what is stated by a caller or
// measured at an instance is passed in as a duration.
package refusal
