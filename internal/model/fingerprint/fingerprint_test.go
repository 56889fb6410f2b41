package fingerprint_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

func TestEqualRequestsHaveEqualKeys(t *testing.T) {
	line := fingerprint.RequestLine{Method: "POST", Host: "a.example", Target: "/orders/7?page=1"}
	keys := fingerprint.Of(line, []byte("body"))
	same := line
	same.Host = "A.example:8080"
	assert.Equal(t, keys, fingerprint.Of(same, []byte("body")))
	otherQuery := line
	otherQuery.Target = "/orders/7?page=2"
	other := fingerprint.Of(otherQuery, []byte("body"))
	assert.Equal(t, keys.Head, other.Head)
	assert.Equal(t, keys.Path, other.Path)
	assert.Assert(t, keys.Full != other.Full)
	assert.Equal(t, len(keys.Whole()), 2)
	for name, changed := range map[string]fingerprint.Keys{
		"method": fingerprint.Of(fingerprint.RequestLine{Method: "PUT", Host: line.Host, Target: line.Target}, []byte("body")),
		"host":   fingerprint.Of(fingerprint.RequestLine{Method: line.Method, Host: "b.example", Target: line.Target}, []byte("body")),
		"path":   fingerprint.Of(fingerprint.RequestLine{Method: line.Method, Host: line.Host, Target: "/orders/8?page=1"}, []byte("body")),
		"body":   fingerprint.Of(line, []byte("bodY")),
	} {
		assert.Assert(t, keys.Full != changed.Full, name)
		assert.Assert(t, keys.Path != changed.Path, name)
	}
}

func TestPartsAreDelimited(t *testing.T) {
	one := fingerprint.Of(fingerprint.RequestLine{Method: "GET", Host: "a", Target: "/b?c"}, nil)
	other := fingerprint.Of(fingerprint.RequestLine{Method: "GET", Host: "a", Target: "/bc"}, nil)
	assert.Assert(t, one.Full != other.Full)
	assert.Equal(t, len(other.Whole()), 1)
}

func TestKeysOfABodyWrittenInPieces(t *testing.T) {
	line := fingerprint.RequestLine{Method: "POST", Host: "a", Target: "/b"}
	digest := fingerprint.NewBody()
	_, _ = digest.Write([]byte("one "))
	_, _ = digest.Write([]byte("two"))
	assert.Equal(t, fingerprint.OfDigest(line, 7, digest), fingerprint.Of(line, []byte("one two")))
	assert.Assert(t, fingerprint.PartialOf(line, 7) != fingerprint.PartialOf(line, 8))
}
