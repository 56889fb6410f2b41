// Package fingerprint derives keys of requests from their method, host, target and body, so that a
// request repeated with another id, by another client or at another daemon is recognised.
//
// The package owns no state and uses SHA-256 and callapi.HostName. Invariants: all daemons derive the
// same keys, and stored keys stay valid over releases. A client must not be able to construct a request
// with the key of another request, hence the cryptographic hash.
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

// Head is a hash of the method, host and path of a request, which is known before the body.
type Head uint64

// String returns the head in hexadecimal digits.
func (h Head) String() string { return strconv.FormatUint(uint64(h), 16) }

// Key identifies a request by the parts of it that one field of Keys covers. It is the first half of
// a SHA-256 hash.
type Key [16]byte

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// RequestLine holds the parts of a request line, and the host of the request.
type RequestLine struct {
	Method string
	// Host may contain a port, which is ignored.
	Host string
	// Target is the path with the query.
	Target string
}

// LineOf returns the line and host of a call.
func LineOf(open *lapisv1.CallOpen) RequestLine {
	return RequestLine{Method: open.GetMethod(), Host: open.GetHost(), Target: open.GetTarget()}
}

// Keys holds the keys of one request, each of which covers other parts of it. The zero value of a key
// means that it is not known.
type Keys struct {
	Head Head
	// Full covers method, host, path, query and body.
	Full Key
	// Path covers method, host, path and body without the query. It equals Full if there is no query.
	Path Key
	// Partial covers method, host, path and declared body length, for a request whose body is not
	// completely known.
	Partial Key
}

// Whole returns the keys that cover the body: Full, and Path if it differs.
func (k Keys) Whole() []Key {
	if k.Full == k.Path {
		return []Key{k.Full}
	}
	return []Key{k.Full, k.Path}
}

// HeadOf returns the head of a request. It costs one hash.
func HeadOf(line RequestLine) Head {
	path, _ := line.split()
	sum := digestOf("head", line.Method, line.host(), path)
	return Head(binary.BigEndian.Uint64(sum[:8]))
}

// PartialOf returns the key of a request of which only the head and the declared length of
// the body are known; length is negative if none is declared.
func PartialOf(line RequestLine, length int64) Key {
	path, _ := line.split()
	return keyOf("partial", line.Method, line.host(), path, string(binary.BigEndian.AppendUint64(nil, uint64(length))))
}

// Of returns all keys of a request with the given body.
func Of(line RequestLine, body []byte) Keys {
	digest := NewBody()
	_, _ = digest.Write(body) // A hash never returns an error.
	return OfDigest(line, int64(len(body)), digest)
}

// NewBody returns the hash for a body, to be passed to OfDigest. It is not safe for concurrent use.
func NewBody() hash.Hash { return sha256.New() }

// OfDigest returns all keys of a request whose body, of length bytes, was written to digest.
func OfDigest(line RequestLine, length int64, digest hash.Hash) Keys {
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

func (l RequestLine) split() (path, query string) {
	path, query, _ = strings.Cut(l.Target, "?")
	return path, query
}

func (l RequestLine) host() string { return callapi.HostName(l.Host) }

func keyOf(parts ...string) Key {
	sum := digestOf(parts...)
	return Key(sum[:16])
}

// digestOf hashes the parts with their lengths, so that different lists have different hash inputs.
func digestOf(parts ...string) [sha256.Size]byte {
	var joined []byte
	for _, part := range parts {
		joined = binary.AppendUvarint(joined, uint64(len(part)))
		joined = append(joined, part...)
	}
	return sha256.Sum256(joined)
}
