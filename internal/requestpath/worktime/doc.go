// Package worktime follows what an instance states of how long work takes there at a moment.
//
// Four things make an answer long: the work of its route, an instance that is slow for good, what
// passes (other programs on the instance's machine), and the wait for a slot. An instance that states
// how long work takes there, as a percentage of what is usual in its service, tells the second and
// the third together. Package balance divides service times by it, so that what is left is the work
// of the route, which the answers of all instances tell; and it expects the time of the next call from
// that work and the newest statement, which fades by its age to what the instance mostly states.
//
// What must hold: an instance that states nothing is judged by its answers alone; so is one whose
// statements explain its service times worse than none would.
package worktime
