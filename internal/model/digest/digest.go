// Package digest computes the digests that verify received configuration: one over
// the content of each bundle, and one over a set of bundles, which can be updated
// incrementally per bundle and computed for any subset.
//
// The package owns no state and uses SHA-256. Invariant: equal contents and equal sets have equal
// digests in every process and release, because the digests are stored and sent. A Set is not safe
// for concurrent use while it is changed.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Size is the length of a digest in bytes: half of a SHA-256, which is sufficient to detect corruption.
const Size = 16

// Sum is the digest of one content.
type Sum [Size]byte

// OfContent returns the digest of a bundle's serialized content.
func OfContent(content []byte) Sum {
	full := sha256.Sum256(content)
	var sum Sum
	copy(sum[:], full[:Size])
	return sum
}

// Set is the digest of a set of named contents. Members can be added and
// removed in any order; equal sets have equal digests. It detects corruption
// and omissions. It does not protect against forgery, which is left to TLS.
type Set struct {
	low, high uint64
}

// Member is the contribution of one named content to a Set.
type Member struct {
	low, high uint64
}

// MemberOf returns the member for a name and the digest of its content. The length of the name is
// hashed too, so that different pairs have different hash inputs.
func MemberOf(name string, content []byte) Member {
	hasher := sha256.New()
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(name)))
	hasher.Write(length[:])
	hasher.Write([]byte(name))
	hasher.Write(content)
	full := hasher.Sum(nil)
	return Member{low: binary.BigEndian.Uint64(full), high: binary.BigEndian.Uint64(full[8:])}
}

// Add adds a member.
func (s *Set) Add(member Member) {
	s.low += member.low
	s.high += member.high
}

// Remove removes a member that was added before. Removing any other member makes the digest invalid.
func (s *Set) Remove(member Member) {
	s.low -= member.low
	s.high -= member.high
}

// Bytes returns the encoded digest.
func (s *Set) Bytes() []byte {
	encoded := make([]byte, 0, Size)
	encoded = binary.BigEndian.AppendUint64(encoded, s.low)
	return binary.BigEndian.AppendUint64(encoded, s.high)
}

// ParseSet decodes a digest encoded by Bytes; ok is false if the length is wrong.
func ParseSet(encoded []byte) (set Set, ok bool) {
	if len(encoded) != Size {
		return Set{}, false
	}
	set.low = binary.BigEndian.Uint64(encoded)
	set.high = binary.BigEndian.Uint64(encoded[Size/2:])
	return set, true
}
