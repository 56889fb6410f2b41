package promise_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// The ledger reports pipelined requests that run after they were reported as not read, and answers
// that belong to another request.
func TestLedgerSeesFaultsOfRequestsSentAhead(t *testing.T) {
	ran := func(request, stamp string) promise.Run {
		return promise.Run{Request: request, Instance: "i", Service: "desk", Stamp: stamp, At: time.Now()}
	}
	for name, row := range map[string]struct {
		safe bool
		play func(*promise.Ledger)
		want promise.Kind
	}{
		"an unsafe request ran that counts as not read": {play: func(l *promise.Ledger) {
			l.Ran(ran("a", "1"))
			l.Answered(promise.Answer{Request: "a", NotRead: true})
		}, want: promise.Refused},
		"an unsafe request runs after it counted as not read": {play: func(l *promise.Ledger) {
			l.Answered(promise.Answer{Request: "a", NotRead: true})
			l.Ran(ran("a", "1"))
		}, want: promise.Refused},
		"a safe request ran that counts as not read": {safe: true, play: func(l *promise.Ledger) {
			l.Ran(ran("a", "1"))
			l.Answered(promise.Answer{Request: "a", NotRead: true})
		}},
		"an answer to another request": {safe: true, play: func(l *promise.Ledger) {
			l.Ran(ran("a", "1"))
			l.Ran(ran("b", "2"))
			l.Answered(promise.Answer{Request: "a", Status: 200, Stamp: "2", Complete: true})
			l.Answered(promise.Answer{Request: "b", Status: 200, Stamp: "2", Complete: true})
		}, want: promise.Mixed},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := promise.NewLedger(promise.Bounds{DrainDelay: time.Second})
			for _, id := range []string{"a", "b"} {
				ledger.Sent(promise.Request{ID: id, Safe: row.safe, Services: map[string]bool{"desk": true}})
			}
			row.play(ledger)
			breaches := ledger.Breaches()
			if row.want == "" {
				assert.Equal(t, len(breaches), 0, "%+v", breaches)
				return
			}
			assert.Equal(t, len(breaches), 1, "%+v", breaches)
			assert.Equal(t, breaches[0].Kind, row.want)
		})
	}
}
