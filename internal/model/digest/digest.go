// Package digest computes the digests by which received configuration is
// verified: one over the content of each bundle, and one over a set of bundles
// that can be kept up to date bundle by bundle and taken over any subset.
//
// It owns nothing and relies on SHA-256. What must hold: equal contents and equal sets have
// equal digests in every process and release, since the digests are stored and sent. Values are not
// safe for concurrent use while they are changed.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
)

// Size is the length of a digest in bytes: half of a SHA-256, which is enough against corruption.
const Size = 16

// Sum is a digest of one content or of a set.
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
// and omissions; against forgery the connection's TLS protects.
type Set struct {
	low, high uint64
}

// Member is what one named content adds to a set.
type Member struct {
	low, high uint64
}

// MemberOf returns the member for a name and the digest of its content. The name is hashed with
// its length, so that no two pairs have the same input.
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

// Remove removes a member that was added before; after removing any other the digest is wrong.
func (s *Set) Remove(member Member) {
	s.low -= member.low
	s.high -= member.high
}

// Bytes returns the digest as it is sent.
func (s *Set) Bytes() []byte {
	encoded := make([]byte, 0, Size)
	encoded = binary.BigEndian.AppendUint64(encoded, s.low)
	return binary.BigEndian.AppendUint64(encoded, s.high)
}

// ParseSet decodes what Bytes returned; ok is false for a wrong length.
func ParseSet(encoded []byte) (set Set, ok bool) {
	if len(encoded) != Size {
		return Set{}, false
	}
	set.low = binary.BigEndian.Uint64(encoded)
	set.high = binary.BigEndian.Uint64(encoded[Size/2:])
	return set, true
}
