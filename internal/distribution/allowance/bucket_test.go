package allowance

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

var testBounds = Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// A window that starts with a full bucket lends no more than maxLent, and at least the rate and the
// burst.
func TestBucketLendsWhatAWindowAllows(t *testing.T) {
	for _, limit := range []Limit{{Rate: 1, Burst: 1}, {Rate: 150, Burst: 150}, {Rate: 2, Burst: 200}, {Rate: 40}} {
		start := time.Unix(1000, 0)
		b := newBucket(limit, 1, testBounds, 1, start)
		now := start.Add(time.Minute)
		lent := 0.0
		for end := now.Add(testBounds.Window); now.Before(end); now = now.Add(time.Millisecond) {
			b.refill(now, testBounds)
			lent += float64(b.lend(now, 1000, 0))
		}
		assert.Assert(t, lent <= testBounds.maxLent(limit), "%v: %v lent", limit, lent)
		assert.Assert(t, lent >= limit.Rate*5+float64(limit.Burst), "%v: %v lent", limit, lent)
	}
}

// Returned credit is dropped if the bucket has been full since it was lent, because it could not
// have held that credit. The second case clears the recorded peaks and shows that the credit is
// then accepted.
func TestReturnsGiveNoMoreThanTheBucketCouldHold(t *testing.T) {
	for name, row := range map[string]struct {
		forget, wantBack bool
	}{"peaks are kept": {}, "peaks are cleared": {forget: true, wantBack: true}} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			b := newBucket(Limit{Rate: 10, Burst: 10}, 1, testBounds, 1, start)
			lentAt := start.Add(time.Minute)
			b.refill(lentAt, testBounds)
			assert.Equal(t, b.lend(lentAt, 10, 0), uint32(10))
			now := lentAt
			for range 18 {
				now = now.Add(100 * time.Millisecond)
				b.refill(now, testBounds)
			}
			assert.Assert(t, b.lend(now, 1000, 0) >= 10, "the bucket is not full again")
			if row.forget {
				b.burstBucket.peaks, b.sustainedBucket.peaks = [peakSlotCount]float64{}, [peakSlotCount]float64{}
			}
			b.takeBack(10, lentAt)
			assert.Equal(t, b.level() >= 1, row.wantBack, "%v", b.level())
		})
	}
}

// A lower limit removes credit above its burst at once. A limit of an older configuration changes
// nothing.
func TestLimitsChangeWithTheConfiguration(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newBucket(Limit{Rate: 100, Burst: 100}, 5, testBounds, 1, start)
	now := start.Add(time.Minute)
	b.refill(now, testBounds)
	b.setLimit(Limit{Rate: 1, Burst: 1}, 6, testBounds)
	assert.Assert(t, b.level() <= 1+burstHeadroomSlackShare*testBounds.Slack)
	b.setLimit(Limit{Rate: 100, Burst: 100}, 5, testBounds)
	assert.Equal(t, b.limit, Limit{Rate: 1, Burst: 1})
}

// Retry times of refused callers increase, and never exceed maxRetryAfter.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newBucket(Limit{Rate: 50}, 1, testBounds, 1, start)
	first := b.retryAfter(start, 1)
	second := b.retryAfter(start, 1)
	assert.Assert(t, first > 0 && second > first)
	assert.Assert(t, b.retryAfter(start, 10000) <= maxRetryAfter)
	assert.Assert(t, b.retryAfter(start, 1) <= maxRetryAfter)
}

// The shares of owners with different voters add up to at most one.
func TestOwnersShareTheRate(t *testing.T) {
	for first := 0; first <= 100; first++ {
		for second := 0; first+second <= 100; second++ {
			third := 100 - first - second
			sum := rateShareOf(float64(first)/100) + rateShareOf(float64(second)/100) + rateShareOf(float64(third)/100)
			assert.Assert(t, sum <= 1+1e-9, "%d %d %d", first, second, third)
		}
	}
}

// Credit lent over a connection that has ended is not returned: the owner's process may have
// restarted with a new bucket.
func TestCreditOfAnEarlierConnectionIsNotGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newClient(testBounds, newRanking("self", now))
	a.setConnected("self", true)
	ticket := a.take(now, "account/a", Limit{Rate: 1}, 1, false)
	ask := a.outgoing(now)["self"]
	a.receive(now, "self", &lapisv1.AllowanceGrant{Sequence: ask.GetSequence(), Credits: []*lapisv1.AllowanceCredit{{Allowance: "account/a", Credits: 1}}})
	assert.Assert(t, (<-ticket.Decided).Granted)
	a.setConnected("self", false)
	a.setConnected("self", true)
	a.giveBack(now.Add(time.Second), ticket)
	assert.Equal(t, len(a.allowances["account/a"].unused), 0)
}

// Guards against an end of the process by a loan whose stated time lies centuries away.
func TestReturnsOfImpossibleLoansAreDropped(t *testing.T) {
	for _, lentAt := range []uint64{0, 1, math.MaxInt64, math.MaxInt64 + 1, math.MaxUint64} {
		start := time.Unix(1000, 0)
		owning := newOwner("self", testBounds, start)
		owning.setFleetKnown(start)
		owning.openLink("link")
		for sequence := uint64(1); sequence <= 3; sequence++ {
			now := start.Add(time.Duration(sequence) * time.Minute)
			owning.recordView(now, "self", "link", newView([]string{"self"}))
			need := &lapisv1.AllowanceNeed{Allowance: "a", Credits: math.MaxUint32, Returned: math.MaxUint32, ReturnedLentAt: lentAt, PerSecond: 10, Burst: 10}
			grant := owning.grant(now, "self", "link", &lapisv1.AllowanceAsk{Sequence: sequence, Needs: []*lapisv1.AllowanceNeed{need}})
			credit := grant.GetCredits()[0]
			assert.Assert(t, !credit.GetNotOwner() && credit.GetCredits() <= 100, "%d: %v", lentAt, credit)
		}
	}
}
