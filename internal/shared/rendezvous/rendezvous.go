// Package rendezvous is the project's one rendezvous hash (highest random weight): each
// chooser ranks candidates by a score of its own, so that choosers spread evenly over the
// candidates and a candidate that comes or goes changes little for anyone. It has no state.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns how candidate ranks for chooser. Every process computes the same score
// for the same two names.
func Score(chooser, candidate string) uint64 {
	return xxhash.Sum64String(chooser + "|" + candidate)
}
