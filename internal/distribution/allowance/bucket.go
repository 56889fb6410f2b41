package allowance

import "time"

const (
	// returningPart is the part of the rate that is meant for callers who were refused before; the
	// rest is for those who come for the first time.
	returningPart = 0.2
	// longestReturn bounds how long a refused caller is told to stay away: most callers wait a few
	// seconds altogether.
	longestReturn = 2 * time.Second
	// keptFromLate is for how long calls that can still be in time would be served from what late
	// calls leave.
	keptFromLate = 200 * time.Millisecond
)

// bucket is what the owner of an allowance may lend.
//
// There are two token buckets, and credit may be lent while either of them has some; it is then taken
// from both. One holds the whole burst, for calls that come at once; the other less, and gains
// more, for callers that ask for all that a window allows. The last call of any window is lent by one
// of the two, which had lent no more in the window than it may.
//
// In the first window of an owner the latter gains no more than the former: together with what the
// former of the earlier owner held it would be too much.
type bucket struct {
	limit    Limit
	revision uint64
	// share is the part of the rate that this owner may lend since updated.
	share               float64
	burstful, sustained tokenBucket
	// burstfulRate and sustainedRate are what they gain a second.
	burstfulRate, sustainedRate float64
	updated                     time.Time
	// since is when the owner began to lend without another one beside it.
	since time.Time
	// nextReturn is when the next caller to be refused is told to return.
	nextReturn time.Time
	record     record
}

// newBucket returns an empty bucket that gains credit from since on.
func newBucket(limit Limit, revision uint64, bounds Bounds, share float64, since time.Time) *bucket {
	b := &bucket{limit: limit, revision: revision, share: share, updated: since, since: since, nextReturn: since}
	b.burstful, b.sustained = newTokenBucket(since), newTokenBucket(since)
	b.resize(bounds)
	return b
}

// resize sets the buckets as the limit and the share say. Owners that share a limit share its burst as
// well, since each could save it up. An only owner holds at least one call.
func (b *bucket) resize(bounds Bounds) {
	whole := max(1, float64(b.limit.Burst)+headroomShare*bounds.Slack)
	part := max(1, sustainedShare*whole)
	b.burstful.resize(whole * b.share)
	b.sustained.resize(part * b.share)
	b.burstfulRate, b.sustainedRate = bounds.rate(b.limit, whole), bounds.rate(b.limit, part)
}

// settle lets the buckets gain credit until now.
func (b *bucket) settle(now time.Time, bounds Bounds) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.burstful.fill(now, b.burstfulRate*b.share*elapsed.Seconds())
	alone := max(0, min(elapsed, now.Sub(b.since.Add(bounds.Window))))
	b.sustained.fill(now, (b.burstfulRate*(elapsed-alone).Seconds()+b.sustainedRate*alone.Seconds())*b.share)
}

// setShare changes what part of the rate may be lent. An owner that nobody sees as such starts
// from empty when it is one again, since another one may lend meanwhile.
func (b *bucket) setShare(now time.Time, share float64, bounds Bounds) {
	b.settle(now, bounds)
	if share < 1 || b.share < 1 {
		b.since = now
	}
	b.share = share
	b.resize(bounds)
	if share == 0 {
		b.burstful.empty()
		b.sustained.empty()
	}
}

// setLimit replaces the limit by that of a configuration that is not older.
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

// lend takes up to so many credits out of the settled bucket. Calls that are late get none of the
// last ones: an account that asks for more than its limit would otherwise spend it on calls that were
// refused before, and have those that come for the first time refused and late in turn.
func (b *bucket) lend(now time.Time, wanted, late uint32) (lent uint32) {
	lent = b.takeAbove(wanted, 0)
	kept := min(b.burstfulRate*b.share*keptFromLate.Seconds(), b.burstful.capacity/2)
	lent += b.takeAbove(late, kept)
	b.record.note(now, lent, wanted+late-lent)
	return lent
}

// takeAbove takes up to so many credits and leaves so much.
func (b *bucket) takeAbove(wanted uint32, left float64) (taken uint32) {
	taken = min(wanted, uint32(max(0, b.level()-left)))
	b.burstful.level -= float64(taken)
	b.sustained.level -= float64(taken)
	return taken
}

func (b *bucket) level() float64 { return max(b.burstful.level, b.sustained.level) }

// takeBack puts credit back that was lent at a time and not used.
func (b *bucket) takeBack(credits uint32, lentAt time.Time) {
	b.burstful.takeBack(float64(credits), lentAt)
	b.sustained.takeBack(float64(credits), lentAt)
	b.record.returned += uint64(credits)
}

// returnAfter returns when the callers of so many refused calls may return: one after the other, at
// a part of the rate, so that they find credit.
func (b *bucket) returnAfter(now time.Time, refused uint32) time.Duration {
	rate := b.burstfulRate * b.share
	if rate <= 0 {
		return longestReturn
	}
	first := now.Add(seconds((1 - b.level()) / rate))
	if b.nextReturn.Before(first) {
		b.nextReturn = first
	}
	after := b.nextReturn.Sub(now)
	b.nextReturn = b.nextReturn.Add(seconds(float64(refused) / (rate * returningPart)))
	if latest := now.Add(longestReturn); b.nextReturn.After(latest) {
		b.nextReturn = latest
	}
	return min(after, longestReturn)
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
