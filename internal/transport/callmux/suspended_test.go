package callmux

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The age of a confirmation that a daemon sends includes the time for which its machine was
// suspended since: others would not poll for themselves otherwise.
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

// A confirmation that another daemon sends after this machine was suspended is that much older.
func TestSuspensionAgesEchoedConfirmation(t *testing.T) {
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
