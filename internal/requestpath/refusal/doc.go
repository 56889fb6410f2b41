// Package refusal decides how long a call may wait for a slot, when too little time is left to
// start it, and when the caller of a refused call may retry (the Retry-After of the answer).
//
// A call that cannot be answered in time is refused as soon as that is known, while its caller
// still has time to retry. The rules are pure functions of times. The gateway supplies the clock
// and the randomness, and sends the bounds to the daemon of the instance, which enforces them in
// its queue (package admission).
//
// The package has no state. All times must be measured with one clock, so times reported by a
// caller or measured at an instance are passed in as durations.
package refusal
