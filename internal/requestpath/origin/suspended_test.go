package origin

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// An instance stays cold and up while its machine is suspended, because it may have been suspended
// as well. Its next heartbeat states whether it is.
func TestColdSpanAndBeatsStandWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		fixture := newFixture(t, 4)
		fixture.heartbeat(coldDuration, 0)
		gap = heartbeatTimeout + coldDuration
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, fixture.cold())
		instance, ok := fixture.instance("desk", "desk-1")
		assert.Assert(t, ok)
		instance.checkHealth(t.Context())
		assert.Equal(t, instance.State(), StateReady)
		fixture.heartbeat(0, 0)
		assert.Assert(t, !fixture.cold())
	})
}

// The time for which the machine was suspended counts as idle time of a connection, because the
// instance may have closed or dropped it.
func TestConnectionsRestWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		pool := newConnectionPool("127.0.0.1:1", 1)
		pool.open = 1
		pool.put(&connection{Conn: near, idleTimeout: backendIdleTimeout})
		time.Sleep(time.Second)
		pool.closeExpired(false)
		assert.Equal(t, len(pool.idle), 1)
		gap = backendIdleTimeout
		time.Sleep(time.Second)
		pool.closeExpired(false)
		assert.Equal(t, len(pool.idle), 0)
	})
}
