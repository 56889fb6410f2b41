package allowance

import "time"

const (
	// retryRateShare is the fraction of the rate set aside for callers that were refused before.
	// The rest is for first attempts.
	retryRateShare = 0.2
	// maxRetryAfter is the maximum retry delay given to a refused caller. Most callers wait a few
	// seconds in total.
	maxRetryAfter = 2 * time.Second
	// lateHeadroom is the time for which the credit withheld from late calls serves the other
	// calls.
	lateHeadroom = 200 * time.Millisecond
)

// bucket holds the credit that the owner of an allowance may lend.
//
// It consists of two token buckets. Credit may be lent while either of them has some, and is taken
// from both. The burst bucket holds the whole burst, for calls that arrive at once. The sustained
// bucket holds less and fills faster, for callers that use all that a window allows. The last
// credit lent in any window came from one of the two, which by then had lent no more in the window
// than it may.
//
// In the first window of an owner the sustained bucket fills at the rate of the burst bucket. Its
// own rate would add up to too much together with the burst bucket of the previous owner.
type bucket struct {
	limit    Limit
	revision uint64
	// share is the fraction of the rate that this owner may lend, in force since settledAt.
	share                        float64
	burstBucket, sustainedBucket tokenBucket
	// burstBucketRate and sustainedBucketRate are the fill rates in credits per second.
	burstBucketRate, sustainedBucketRate float64
	settledAt                            time.Time
	// soleOwnerSince is when the owner began to lend with no other owner beside it.
	soleOwnerSince time.Time
	// nextRetry is the time at which the next refused caller is told to retry.
	nextRetry time.Time
	usage     usageRecord
}

// newBucket returns an empty bucket that fills from soleOwnerSince on.
func newBucket(limit Limit, revision uint64, bounds Bounds, share float64, soleOwnerSince time.Time) *bucket {
	b := &bucket{limit: limit, revision: revision, share: share, settledAt: soleOwnerSince, soleOwnerSince: soleOwnerSince, nextRetry: soleOwnerSince}
	b.burstBucket, b.sustainedBucket = newTokenBucket(soleOwnerSince), newTokenBucket(soleOwnerSince)
	b.resize(bounds)
	return b
}

// resize derives capacities and rates from the limit and the share. Owners that share a limit also
// share its burst, since each of them could accumulate the whole burst. A sole owner's bucket holds
// at least one call.
func (b *bucket) resize(bounds Bounds) {
	burst := max(1, float64(b.limit.Burst)+burstHeadroomSlackShare*bounds.Slack)
	sustainedCapacity := max(1, sustainedBurstShare*burst)
	b.burstBucket.resize(burst * b.share)
	b.sustainedBucket.resize(sustainedCapacity * b.share)
	b.burstBucketRate, b.sustainedBucketRate = bounds.fillRate(b.limit, burst), bounds.fillRate(b.limit, sustainedCapacity)
}

// refill adds the credit gained until now.
func (b *bucket) refill(now time.Time, bounds Bounds) {
	elapsed := now.Sub(b.settledAt)
	if elapsed <= 0 {
		return
	}
	b.settledAt = now
	b.burstBucket.fill(now, b.burstBucketRate*b.share*elapsed.Seconds())
	soleOwnerTime := max(0, min(elapsed, now.Sub(b.soleOwnerSince.Add(bounds.Window))))
	b.sustainedBucket.fill(now, (b.burstBucketRate*(elapsed-soleOwnerTime).Seconds()+b.sustainedBucketRate*soleOwnerTime.Seconds())*b.share)
}

// setShare changes the fraction of the rate that may be lent. An owner whose share drops to 0 is
// emptied, since another owner may lend meanwhile.
func (b *bucket) setShare(now time.Time, share float64, bounds Bounds) {
	b.refill(now, bounds)
	if share < 1 || b.share < 1 {
		b.soleOwnerSince = now
	}
	b.share = share
	b.resize(bounds)
	if share == 0 {
		b.burstBucket.empty()
		b.sustainedBucket.empty()
	}
}

// setLimit replaces the limit, unless the configuration it comes from is older than the current
// one.
func (b *bucket) setLimit(limit Limit, revision uint64, bounds Bounds) {
	if revision < b.revision {
		return
	}
	b.revision = revision
	if limit != b.limit {
		b.limit = limit
		b.resize(bounds)
	}
}

// lend takes up to the given credits out of the refilled bucket. Late calls do not get the last
// credits: an account over its limit would otherwise spend them on calls that were refused before,
// so that first attempts would be refused and become late as well.
func (b *bucket) lend(now time.Time, wanted, late uint32) (lent uint32) {
	lent = b.takeAbove(wanted, 0)
	withheld := min(b.burstBucketRate*b.share*lateHeadroom.Seconds(), b.burstBucket.capacity/2)
	lent += b.takeAbove(late, withheld)
	b.usage.recordResult(now, lent, wanted+late-lent)
	return lent
}

// takeAbove takes up to wanted credits but leaves at least floor in the bucket.
func (b *bucket) takeAbove(wanted uint32, floor float64) (taken uint32) {
	taken = min(wanted, uint32(max(0, b.level()-floor)))
	b.burstBucket.level -= float64(taken)
	b.sustainedBucket.level -= float64(taken)
	return taken
}

func (b *bucket) level() float64 { return max(b.burstBucket.level, b.sustainedBucket.level) }

// takeBack returns unused credit that was lent at lentAt.
func (b *bucket) takeBack(credits uint32, lentAt time.Time) {
	b.burstBucket.takeBack(float64(credits), lentAt)
	b.sustainedBucket.takeBack(float64(credits), lentAt)
	b.usage.returned += uint64(credits)
}

// retryAfter returns when the callers of the refused calls may retry. They are spread over time at
// retryRateShare of the rate, so that they find credit.
func (b *bucket) retryAfter(now time.Time, refused uint32) time.Duration {
	rate := b.burstBucketRate * b.share
	if rate <= 0 {
		return maxRetryAfter
	}
	first := now.Add(seconds((1 - b.level()) / rate))
	if b.nextRetry.Before(first) {
		b.nextRetry = first
	}
	after := b.nextRetry.Sub(now)
	b.nextRetry = b.nextRetry.Add(seconds(float64(refused) / (rate * retryRateShare)))
	if latest := now.Add(maxRetryAfter); b.nextRetry.After(latest) {
		b.nextRetry = latest
	}
	return min(after, maxRetryAfter)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
