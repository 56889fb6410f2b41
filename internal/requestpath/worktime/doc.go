// Package worktime tracks the slowdown that an instance reports: the current service time of work
// there as a percentage of what is usual in its service.
//
// Four factors determine the response time of a call: the work of its route, the permanent speed of
// the instance, transient load (other programs on the machine of the instance), and the wait for a
// slot. A report covers the second and the third factor together. Package balance divides service
// times by the reported slowdown. The quotient is the work of the route, which is estimated from
// the answers of all instances. The service time of the next call is predicted from that work and
// the newest report, whose weight decays with its age to the baseline of the instance.
//
// Invariant: an instance that reports nothing is judged by its service times alone, and so is an
// instance whose reports predict its service times worse than no reports would.
package worktime
