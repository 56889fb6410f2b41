package promise_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// statementLedger returns a ledger in which daemon "d" has passed on a statement of instance "i".
func statementLedger(now time.Time, statement promise.Statement) *promise.Ledger {
	ledger := promise.NewLedger(promise.Bounds{DrainDelay: time.Second, PropagationDelay: time.Second})
	ledger.Sent(promise.Request{ID: "first", Safe: true, Services: map[string]bool{"desk": true}, SentAt: now, DaemonAddress: "d"})
	ledger.Ran(promise.Run{Request: "first", Instance: "i", Service: "desk", Stamp: "s", At: now})
	ledger.StatementPassedOn("first", "s", statement, now)
	return ledger
}

// deliver records a request of a daemon that reaches instance "i" at once.
func deliver(ledger *promise.Ledger, id, daemon string, at time.Time) {
	ledger.Sent(promise.Request{ID: id, Safe: true, SentAt: at, DaemonAddress: daemon})
	ledger.Delivered(promise.Delivery{Request: id, Instance: "i", At: at})
}

func TestStatedRateIsCheckedInSlidingWindows(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		daemon     string
		deliveries int
		from       time.Duration
		before     func(*promise.Ledger)
		breaches   int
	}{
		// 2 requests per second allow 1.5 * 4 * 2 + 5 in four seconds.
		"as many as allowed":        {daemon: "d", deliveries: 17, from: 2 * time.Second},
		"one more":                  {daemon: "d", deliveries: 18, from: 2 * time.Second, breaches: 1},
		"before the limit applies":  {daemon: "d", deliveries: 18, from: 600 * time.Millisecond},
		"an uninformed daemon":      {daemon: "e", deliveries: 18, from: 2 * time.Second},
		"an interrupted daemon":     {daemon: "d", deliveries: 18, from: 2 * time.Second, before: func(l *promise.Ledger) { l.DaemonInterrupted("d") }},
		"another interrupted one":   {daemon: "d", deliveries: 18, from: 2 * time.Second, before: func(l *promise.Ledger) { l.DaemonInterrupted("e") }, breaches: 1},
		"the rate is no longer set": {daemon: "d", deliveries: 18, from: 2 * time.Second, before: func(l *promise.Ledger) { l.StatedRateEnded("i", now) }},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := statementLedger(now, promise.Statement{PerSecond: 2})
			if row.before != nil {
				row.before(ledger)
			}
			for number := range row.deliveries {
				deliver(ledger, fmt.Sprint(number), row.daemon, now.Add(row.from+time.Duration(number)*20*time.Millisecond))
			}
			assert.Equal(t, len(ledger.Breaches()), row.breaches, "%v", ledger.Breaches())
		})
	}
}

func TestRequestsAfterALeavingStatementAreBreaches(t *testing.T) {
	now := time.Now()
	for name, row := range map[string]struct {
		daemon   string
		sentAt   time.Duration
		breaches int
	}{
		"within the delay":     {"d", time.Second, 0},
		"after the delay":      {"d", 1001 * time.Millisecond, 1},
		"an uninformed daemon": {"e", 2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := statementLedger(now, promise.Statement{Leaving: true})
			deliver(ledger, "late", row.daemon, now.Add(row.sentAt))
			assert.Equal(t, len(ledger.Breaches()), row.breaches, "%v", ledger.Breaches())
		})
	}
}
