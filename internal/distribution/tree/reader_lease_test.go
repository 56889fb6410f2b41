package tree

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// A reader whose machine was suspended for longer than its lease must not write with that lease.
func TestSuspendedReaderLosesItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		role := &readerRole{node: &Node{lease: seat.NewLease(6 * time.Second), stopping: true}}
		role.node.lease.Acquired(boottime.Now(), 1)
		time.Sleep(time.Second)
		assert.Equal(t, role.node.lease.State(boottime.Now()), seat.StateHolding)
		gap = 5 * time.Second
		time.Sleep(time.Second)
		// A write would panic, because the node has no store.
		role.release()
		assert.Equal(t, role.node.lease.State(boottime.Now()), seat.StateIdle)
	})
}
