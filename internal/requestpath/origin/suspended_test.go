package origin

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// An instance stays as cold as it said, and up, while its machine is suspended: it may have
// stood as well. Its next heartbeat tells.
func TestColdSpanAndBeatsStandWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		bench := newBench(t, 4)
		bench.beat(coldTime, 0)
		gap = beatSilence + coldTime
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, bench.cold())
		instance, ok := bench.instance("desk", "desk-1")
		assert.Assert(t, ok)
		instance.check(t.Context())
		assert.Equal(t, instance.State(), StateReady)
		bench.beat(0, 0)
		assert.Assert(t, !bench.cold())
	})
}

// A connection that rested while the machine was suspended rested that long for the
// instance, which may have closed or forgotten it.
func TestConnectionsRestWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		pool := newConnectionPool("127.0.0.1:1", 1)
		pool.open = 1
		pool.put(&connection{Conn: near, keepFor: backendIdleTimeout})
		time.Sleep(time.Second)
		pool.closeOld(false)
		assert.Equal(t, len(pool.idle), 1)
		gap = backendIdleTimeout
		time.Sleep(time.Second)
		pool.closeOld(false)
		assert.Equal(t, len(pool.idle), 0)
	})
}

// A call that waited while the machine was suspended is over when its caller's time is.
func TestCallsExpireWhileSuspended(t *testing.T) {
	open := &lapisv1.CallOpen{DeadlineMillis: 1500}
	for name, row := range map[string]struct {
		waited, suspended time.Duration
		code              result.Code
	}{
		"not suspended":      {waited: 2 * time.Second},
		"suspended a little": {100 * time.Millisecond, time.Second, result.OK},
		"suspended too long": {100 * time.Millisecond, 1400 * time.Millisecond, result.CallNotRunExpired},
	} {
		t.Run(name, func(t *testing.T) {
			code, _ := result.CodeOf(checkSuspended(open, row.waited, row.suspended))
			assert.Equal(t, code, row.code)
		})
	}
	assert.NilError(t, checkSuspended(&lapisv1.CallOpen{}, time.Second, time.Hour))
}
