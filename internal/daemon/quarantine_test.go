package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The time for which the machine is suspended counts towards the time until a trial of a quarantined
// request.
func TestTrialBecomesDueWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		known := newSuspects(logr.Discard(), nil, func([]quarantine.Record, string) {})
		line := fingerprint.RequestLine{Method: "GET", Host: "a", Target: "/deadly"}
		keys := fingerprint.Of(line, nil).Whole()
		for end := range uint64(3) {
			known.Crashed("i", end, []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: keys, Caller: "desk"}})
		}
		verdict := known.Evaluate(keys, "desk")
		assert.Assert(t, verdict.Quarantined && !verdict.TrialDue)
		gap = verdict.RetryAfter
		time.Sleep(time.Second)
		assert.Assert(t, known.Evaluate(keys, "desk").TrialDue)
	})
}
