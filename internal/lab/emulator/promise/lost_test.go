package promise_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// Covers the requests that count as lost and the reasons that excuse a missing answer.
func TestLostRequests(t *testing.T) {
	sent := time.Now()
	after := func(millis int) time.Time { return sent.Add(time.Duration(millis) * time.Millisecond) }
	bounds := promise.Bounds{LossSlack: 200 * time.Millisecond, PropagationDelay: time.Second, GracePeriod: 6 * time.Second}
	ran := func(ledger *promise.Ledger) {
		ledger.Ran(promise.Run{Request: "r", Instance: "i", Service: "desk", Stamp: "s", Timeout: time.Second, At: sent})
	}
	for name, row := range map[string]struct {
		before func(*promise.Ledger)
		ended  time.Time
		lost   bool
	}{
		"crossed the end of its connection":    {func(*promise.Ledger) {}, after(150), false},
		"read and dropped":                     {func(*promise.Ledger) {}, after(250), true},
		"forwarded":                            {ran, after(50), true},
		"its deadline had passed":              {ran, after(20_000), false},
		"a daemon was killed meanwhile":        {func(l *promise.Ledger) { l.DaemonsKilled(after(100)) }, after(250), false},
		"a daemon was killed shortly before":   {func(l *promise.Ledger) { l.DaemonsKilled(after(-900)) }, after(250), false},
		"a daemon was killed long before":      {func(l *promise.Ledger) { l.DaemonsKilled(after(-1100)) }, after(250), true},
		"a daemon was killed afterwards":       {func(l *promise.Ledger) { l.DaemonsKilled(after(300)) }, after(250), true},
		"its instance failed":                  {func(l *promise.Ledger) { ran(l); l.RunFailed("s") }, after(250), false},
		"its instance ended":                   {func(l *promise.Ledger) { ran(l); l.InstanceEnded("i") }, after(250), false},
		"outlasted the stop of its daemon":     {func(l *promise.Ledger) { ran(l); l.StopBegan("d", after(-2000)) }, after(3100), false},
		"cut early in that stop":               {func(l *promise.Ledger) { ran(l); l.StopBegan("d", after(-2000)) }, after(2900), true},
		"outlasted the stop of another daemon": {func(l *promise.Ledger) { ran(l); l.StopBegan("e", after(-2000)) }, after(3100), true},
		"sent late in that stop":               {func(l *promise.Ledger) { ran(l); l.StopBegan("d", after(-3100)) }, after(2000), true},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := promise.NewLedger(bounds)
			ledger.Sent(promise.Request{ID: "r", Safe: true, Services: map[string]bool{"desk": true}, SentAt: sent, Timeout: 10 * time.Second, DaemonAddress: "d"})
			row.before(ledger)
			ledger.Unanswered(promise.Unanswered{Request: "r", SentAt: sent, EndedAt: row.ended, Cause: "EOF"})
			breaches := ledger.Breaches()
			assert.Equal(t, len(breaches) == 1, row.lost, "%+v", breaches)
		})
	}
}

// A daemon's 502 or 504 for a request that an instance works on counts as a lost request.
func TestOwnFailureInPlaceOfAnAnswer(t *testing.T) {
	for status, lost := range map[int]bool{502: true, 504: true, 503: false, 500: false} {
		ledger := promise.NewLedger(promise.Bounds{LossSlack: 200 * time.Millisecond})
		ledger.Sent(promise.Request{ID: "r", Safe: true, Services: map[string]bool{"desk": true}, SentAt: time.Now(), Timeout: time.Hour})
		ledger.Ran(promise.Run{Request: "r", Instance: "i", Service: "desk", Stamp: "s", Timeout: time.Second, At: time.Now()})
		ledger.Answered(promise.Answer{Request: "r", Status: status})
		assert.Equal(t, len(ledger.Breaches()) == 1, lost, "%d: %+v", status, ledger.Breaches())
	}
}
