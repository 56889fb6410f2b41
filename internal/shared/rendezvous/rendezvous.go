// Package rendezvous implements rendezvous hashing (highest random weight), which all choices of this
// kind in the project use. Each chooser ranks the candidates by a score that depends on both names.
// Choosers are therefore spread evenly over the candidates, and adding or removing a candidate changes
// few choices.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the score of a candidate for a chooser. The same two names have the same score in every
// process.
func Score(chooser, candidate string) uint64 {
	return xxhash.Sum64String(chooser + "|" + candidate)
}
