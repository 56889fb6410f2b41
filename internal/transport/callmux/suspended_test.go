package callmux

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The age of its last confirmation that a daemon sends to others includes the time for which its
// machine was suspended since: they would not ask for themselves.
func TestSuspendedDaemonTellsHowOldItsConfirmationIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		confirmed := boottime.Now()
		sender := &session{timing: Timing{Local: func() Heartbeat { return Heartbeat{Revision: 3, Confirmed: confirmed} }}}
		gap = 8 * time.Second
		time.Sleep(time.Second)
		age := time.Duration(sender.heartbeat().GetFreshness().GetAgeMicros()) * time.Microsecond
		assert.Assert(t, age >= 9*time.Second, "sent as %s old", age)
	})
}

// What another daemon echoes after this machine was suspended is as old as that makes it.
func TestConfirmationHeardAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		var near, far echoes
		far.receive(aliveFrame(&near, Heartbeat{}, boottime.Now()), boottime.Now())
		sent := boottime.Now()
		answer := aliveFrame(&far, Heartbeat{Revision: 3, Confirmed: sent}, sent)
		gap = 8 * time.Second
		time.Sleep(time.Second)
		heard := near.receive(answer, boottime.Now())
		assert.Assert(t, boottime.Since(heard.Confirmed) >= 9*time.Second)
	})
}
