package callmux

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The confirmation age that a daemon sends includes the time for which its machine was suspended.
// Otherwise other daemons would take the confirmation for recent and not poll themselves.
func TestSuspendedDaemonTellsHowOldItsConfirmationIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		confirmed := boottime.Now()
		sender := &session{timing: Timing{LocalState: func() Heartbeat { return Heartbeat{Revision: 3, Confirmed: confirmed} }}}
		gap = 8 * time.Second
		time.Sleep(time.Second)
		age := time.Duration(sender.heartbeat().GetFreshness().GetAgeMicros()) * time.Microsecond
		assert.Assert(t, age >= 9*time.Second, "the age sent is %s", age)
	})
}

// The first heartbeat after a suspension already states the whole age. The clock must not lag behind until its next
// comparison with the kernel's.
func TestResumedDaemonStatesTheWholeAgeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		confirmed := boottime.Now()
		sender := &session{timing: Timing{LocalState: func() Heartbeat { return Heartbeat{Revision: 3, Confirmed: confirmed} }}}
		gap = 4 * time.Second
		age := time.Duration(sender.heartbeat().GetFreshness().GetAgeMicros()) * time.Microsecond
		assert.Assert(t, age >= 4*time.Second, "the age sent is %s", age)
	})
}

// The time for which this machine was suspended counts towards the age of a received confirmation.
func TestSuspensionAgesEchoedConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		var near, far echoes
		far.receive(heartbeatFrame(&near, Heartbeat{}, boottime.Now()), boottime.Now())
		sent := boottime.Now()
		answer := heartbeatFrame(&far, Heartbeat{Revision: 3, Confirmed: sent}, sent)
		gap = 8 * time.Second
		time.Sleep(time.Second)
		received := near.receive(answer, boottime.Now())
		assert.Assert(t, boottime.Since(received.Confirmed) >= 9*time.Second)
	})
}
