// Package decision writes the lines of decisions that touch a request. Its volume
// is bounded: under load requests are sampled by their id, so that every process
// that one passes keeps either all of its lines or none.
package decision
