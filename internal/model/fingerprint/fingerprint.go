// Package fingerprint derives keys of requests from what they ask for, so that a request that
// comes again with another id, from another client or at another daemon is recognised.
//
// It owns nothing and relies on SHA-256 and on callapi.HostName. What must hold: every daemon
// derives the same keys, and stored keys stay valid over releases; nobody can make a request with
// the key of another, hence a cryptographic hash.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"strconv"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// Head identifies the method, host and path of a request; it is known before the body is.
type Head uint64

// String returns the head in hexadecimal digits.
func (h Head) String() string { return strconv.FormatUint(uint64(h), 16) }

// Key identifies a request at one level of Keys. It is half of a SHA-256.
type Key [16]byte

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Line is the line and host of a request.
type Line struct {
	Method string
	// Host may hold a port, which does not matter.
	Host string
	// Target is the path with the query.
	Target string
}

// LineOf returns the line and host of a call.
func LineOf(open *lapisv1.CallOpen) Line {
	return Line{Method: open.GetMethod(), Host: open.GetHost(), Target: open.GetTarget()}
}

// Keys are the keys of one request at several levels; the zero value of a level is not known.
type Keys struct {
	Head Head
	// Full covers method, host, path, query and body.
	Full Key
	// Path leaves the query out. It equals Full where there is none.
	Path Key
	// Partial covers method, host, path and stated length, for a request whose body is not known
	// to its end.
	Partial Key
}

// Whole returns the keys of a request whose body is known.
func (k Keys) Whole() []Key {
	if k.Full == k.Path {
		return []Key{k.Full}
	}
	return []Key{k.Full, k.Path}
}

// HeadOf returns the head of a request. It costs one hash.
func HeadOf(line Line) Head {
	path, _ := line.split()
	sum := digestOf("head", line.Method, line.host(), path)
	return Head(binary.BigEndian.Uint64(sum[:8]))
}

// PartialOf returns the key of a request of which only the head and the stated length of
// the body are known; the length is negative where none is stated.
func PartialOf(line Line, length int64) Key {
	path, _ := line.split()
	return keyOf("partial", line.Method, line.host(), path, string(binary.BigEndian.AppendUint64(nil, uint64(length))))
}

// Of returns all keys of a request with the given body.
func Of(line Line, body []byte) Keys {
	digest := NewBody()
	_, _ = digest.Write(body) // A hash never returns an error.
	return OfDigest(line, int64(len(body)), digest)
}

// NewBody returns the hash that a body's bytes are written to. It is not safe for concurrent use.
func NewBody() hash.Hash { return sha256.New() }

// OfDigest returns all keys of a request whose body, of length bytes, was written to digest.
func OfDigest(line Line, length int64, digest hash.Hash) Keys {
	path, query := line.split()
	body := string(digest.Sum(nil))
	keys := Keys{Head: HeadOf(line), Partial: PartialOf(line, length)}
	keys.Path = keyOf("path", line.Method, line.host(), path, body)
	keys.Full = keys.Path
	if query != "" {
		keys.Full = keyOf("full", line.Method, line.host(), path, query, body)
	}
	return keys
}

func (l Line) split() (path, query string) {
	path, query, _ = strings.Cut(l.Target, "?")
	return path, query
}

func (l Line) host() string { return callapi.HostName(l.Host) }

func keyOf(parts ...string) Key {
	sum := digestOf(parts...)
	return Key(sum[:16])
}

// digestOf hashes the parts with their lengths, so that no two lists run into one another.
func digestOf(parts ...string) [sha256.Size]byte {
	var joined []byte
	for _, part := range parts {
		joined = binary.AppendUvarint(joined, uint64(len(part)))
		joined = append(joined, part...)
	}
	return sha256.Sum256(joined)
}
