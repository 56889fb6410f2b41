package origin

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A call is refused as not run when the connection limit is reached.
func TestConnectionsAreLimited(t *testing.T) {
	pool := newConnectionPool(unreachableAddress, 2)
	for range 2 {
		conn, err := pool.takeIdle()
		assert.NilError(t, err)
		assert.Assert(t, conn == nil, "unexpected idle connection")
	}
	_, err := pool.get(t.Context())
	assert.Assert(t, result.Is(err, result.CallNotRunOverloaded), "%v", err)
	pool.setLimit(0)
	_, err = pool.takeIdle()
	assert.Assert(t, result.Is(err, result.CallNotRunOverloaded), "0 keeps the limit: %v", err)
	pool.setLimit(3)
	_, err = pool.takeIdle()
	assert.NilError(t, err)
}

// A connection is kept for less time than its back end states: by keepAliveMargin, or by half of a
// short time.
func TestKeepAliveOf(t *testing.T) {
	for value, row := range map[string]struct {
		keep   time.Duration
		stated bool
	}{
		"":                     {0, false},
		"max=5":                {0, false},
		"timeout=soon":         {0, false},
		"timeout=30":           {30*time.Second - keepAliveMargin, true},
		"timeout=2":            {time.Second, true},
		"max=100, Timeout=10":  {10*time.Second - keepAliveMargin, true},
		" timeout=10 , max=10": {10*time.Second - keepAliveMargin, true},
	} {
		keep, stated := keepAliveOf(http.Header{"Keep-Alive": {value}})
		assert.Equal(t, keep, row.keep, value)
		assert.Equal(t, stated, row.stated, value)
	}
}
