package promise_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// noon is the time of the first event; only the intervals between events matter.
var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// arrive records count deliveries to a cold instance of zone a in region north: the first at start
// after noon, the others at intervals of step.
func arrive(l *promise.Ledger, count int, start, step time.Duration) {
	for index := range count {
		l.Delivered(promise.Delivery{
			Request: fmt.Sprint("r", index), Instance: "i", Zone: "a", Region: "north", Cold: true,
			At: noon.Add(start + time.Duration(index)*step),
		})
	}
}

// The ledger reports deliveries to instances that must not receive them, and no other deliveries.
func TestLedgerSeesRequestsInTheWrongPlace(t *testing.T) {
	const bound = 2 * time.Second
	bounds := promise.Bounds{EvacuationDelay: bound, MaxColdPerSecond: 10}
	for name, row := range map[string]struct {
		bounds promise.Bounds
		play   func(*promise.Ledger)
		want   []promise.Kind
	}{
		"within the rate of a cold instance": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 40, 0, 100*time.Millisecond)
		}},
		"beyond the rate of a cold instance": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 11, 0, 99*time.Millisecond)
		}, want: []promise.Kind{promise.Failback}},
		"burst after a pause": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 5, 0, time.Millisecond)
			arrive(l, 6, 900*time.Millisecond, time.Millisecond)
		}, want: []promise.Kind{promise.Failback}},
		"far beyond the rate in one second": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 21, 0, time.Millisecond)
		}, want: []promise.Kind{promise.Failback}},
		"two seconds beyond the rate": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 11, 0, time.Millisecond)
			arrive(l, 11, 5*time.Second, time.Millisecond)
		}, want: []promise.Kind{promise.Failback, promise.Failback}},
		"a warm instance": {bounds: bounds, play: func(l *promise.Ledger) {
			for range 50 {
				l.Delivered(promise.Delivery{Request: "r", Instance: "i", Zone: "a", At: noon})
			}
		}},
		"cold, no rate set": {play: func(l *promise.Ledger) { arrive(l, 100, 0, 0) }},
		"two cold instances": {bounds: bounds, play: func(l *promise.Ledger) {
			arrive(l, 10, 0, 0)
			for range 10 {
				l.Delivered(promise.Delivery{Request: "r", Instance: "j", Zone: "a", Cold: true, At: noon})
			}
		}},
		"soon after the order": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			arrive(l, 1, bound, 0)
		}},
		"late after the order": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			arrive(l, 1, bound+time.Millisecond, 0)
		}, want: []promise.Kind{promise.Evacuation}},
		"late after the order, no bound set": {play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			arrive(l, 1, time.Hour, 0)
		}},
		"another zone's order": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("b", noon)
			arrive(l, 1, time.Hour, 0)
		}},
		"late in another zone": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			l.Delivered(promise.Delivery{Request: "r", Instance: "i", Zone: "b", At: noon.Add(time.Hour)})
		}},
		"evacuation withdrawn": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			l.EvacuationEnded("a")
			arrive(l, 1, time.Hour, 0)
		}},
		"the store is down": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			l.StoreUnavailable()
			arrive(l, 1, time.Hour, 0)
		}},
		"soon after the store is back": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			l.StoreUnavailable()
			l.StoreAvailable(noon.Add(time.Minute))
			arrive(l, 1, time.Minute+bound, 0)
		}},
		"late after the store is back": {bounds: bounds, play: func(l *promise.Ledger) {
			l.Evacuated("a", noon)
			l.StoreUnavailable()
			l.StoreAvailable(noon.Add(time.Minute))
			arrive(l, 1, time.Minute+bound+time.Millisecond, 0)
		}, want: []promise.Kind{promise.Evacuation}},
		"the store was down before the order": {bounds: bounds, play: func(l *promise.Ledger) {
			l.StoreUnavailable()
			l.StoreAvailable(noon.Add(-time.Minute))
			l.Evacuated("a", noon)
			arrive(l, 1, bound+time.Millisecond, 0)
		}, want: []promise.Kind{promise.Evacuation}},
		"in an allowed region": {play: func(l *promise.Ledger) {
			l.Sent(promise.Request{ID: "r0", AllowedRegions: []string{"south", "north"}})
			arrive(l, 1, 0, 0)
		}},
		"in another region": {play: func(l *promise.Ledger) {
			l.Sent(promise.Request{ID: "r0", AllowedRegions: []string{"south"}})
			arrive(l, 1, 0, 0)
		}, want: []promise.Kind{promise.Home}},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := promise.NewLedger(row.bounds)
			row.play(ledger)
			var kinds []promise.Kind
			for _, breach := range ledger.Breaches() {
				kinds = append(kinds, breach.Kind)
			}
			assert.DeepEqual(t, kinds, row.want)
		})
	}
}
