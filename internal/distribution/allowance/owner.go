package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// maxBuckets bounds the allowances that an owner remembers; further ones get no credit.
const maxBuckets = 16384

// lapseCheck is the interval in which lapsed votes are looked for; it adds to voteLapse.
const lapseCheck = 100 * time.Millisecond

// owner lends credit of the allowances that this daemon owns.
type owner struct {
	self   string
	bounds Bounds
	// started is what the times of lending count from.
	started time.Time
	votes   *votes
	buckets map[string]*bucket
	// sequences are the newest asks of each open link, so that an ask counts once.
	sequences map[Link]uint64
	// viewNumbers are those of the newest views stated on each open link.
	viewNumbers map[Link]uint64
	checkedAt   time.Time
	// leading is the view of most voters, whole while they are enough to lend the whole rate.
	// It has been both since leadingSince: an allowance that is asked for the first time could have
	// been lent by another owner until then.
	leading      string
	whole        bool
	leadingSince time.Time
}

func newOwner(self string, bounds Bounds, now time.Time) *owner {
	return &owner{
		self: self, bounds: bounds, started: now, votes: newVotes(), buckets: map[string]*bucket{}, sequences: map[Link]uint64{}, viewNumbers: map[Link]uint64{},
		checkedAt: now, leadingSince: now,
	}
}

// change lets all buckets fill until at, changes the votes, and applies what follows from it.
func (o *owner) change(at time.Time, apply func()) {
	for _, known := range o.buckets {
		known.settle(at, o.bounds)
	}
	apply()
	leading, whole := o.votes.leading()
	if !whole || !o.whole || leading != o.leading {
		o.leading, o.whole, o.leadingSince = leading, whole, at
	}
	for name, known := range o.buckets {
		known.setShare(at, o.votes.share(o.self, name), o.bounds)
	}
}

// join records a new link from another daemon.
func (o *owner) join(link Link) { o.sequences[link] = 0 }

func (o *owner) setMembers(now time.Time, members int) {
	if members != o.votes.members {
		o.dropLapsed(now)
		o.change(now, func() { o.votes.members = members })
	}
}

func (o *owner) state(now time.Time, node string, link Link, stated view) {
	o.dropLapsed(now)
	if known := o.votes.byNode[node]; known != nil && known.view.key == stated.key {
		known.link, known.heard = link, now
		return
	}
	o.change(now, func() { o.votes.state(now, node, link, stated) })
}

func (o *owner) hear(now time.Time, node string, link Link) { o.votes.hear(now, node, link) }

func (o *owner) leave(now time.Time, node string, link Link) {
	delete(o.sequences, link)
	delete(o.viewNumbers, link)
	if known := o.votes.byNode[node]; known == nil || known.link != link {
		return
	}
	o.dropLapsed(now)
	o.change(now, func() { o.votes.leave(node, link) })
}

// dropLapsed takes away votes that lapsed, as of the time at which they did.
func (o *owner) dropLapsed(now time.Time) {
	o.checkedAt = now
	nodes, since := o.votes.lapsed(now)
	if len(nodes) == 0 {
		return
	}
	o.change(since, func() {
		for _, node := range nodes {
			o.votes.remove(node)
		}
	})
}

// isNewest reports whether a view is the newest one that was stated on a link so far, and notes it:
// messages may overtake each other on their way to the link.
func (o *owner) isNewest(link Link, number uint64) bool {
	if number <= o.viewNumbers[link] {
		return false
	}
	o.viewNumbers[link] = number
	return true
}

// askForView answers an ask that only renews a vote, nil while the vote counts. A daemon without calls
// would otherwise not learn that its vote lapsed, and never vote again.
func (o *owner) askForView(node string, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	if !ask.GetRenew() || o.votes.byNode[node] != nil {
		return nil
	}
	return &lapisv1.AllowanceGrant{ViewWanted: true}
}

// grant answers an ask of a daemon, nil for one that was answered before or whose link has ended.
func (o *owner) grant(now time.Time, node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	newest, open := o.sequences[link]
	if !open || ask.GetSequence() <= newest {
		return nil
	}
	o.sequences[link] = ask.GetSequence()
	if now.Sub(o.checkedAt) >= lapseCheck {
		o.dropLapsed(now)
	}
	grant := &lapisv1.AllowanceGrant{Sequence: ask.GetSequence(), ViewWanted: o.votes.byNode[node] == nil}
	for _, need := range ask.GetNeeds() {
		grant.Credits = append(grant.Credits, o.lend(now, need, ask.GetRevision()))
	}
	return grant
}

// lend serves one need.
func (o *owner) lend(now time.Time, need *lapisv1.AllowanceNeed, revision uint64) *lapisv1.AllowanceCredit {
	credit := &lapisv1.AllowanceCredit{Allowance: need.GetAllowance()}
	known := o.bucketOf(now, need, revision)
	if known == nil || known.share == 0 {
		credit.NotOwner = true
		credit.RetryAfterMillis = uint32(abandonAfter.Milliseconds())
		return credit
	}
	known.settle(now, o.bounds)
	known.setLimit(limitOf(need), revision, o.bounds)
	if need.GetReturned() > 0 {
		known.takeBack(need.GetReturned(), o.started.Add(time.Duration(need.GetReturnedLentAt())))
	}
	credit.LentAt = uint64(now.Sub(o.started))
	credit.Credits = known.lend(now, need.GetCredits(), need.GetLateCredits())
	if wanted := need.GetCredits() + need.GetLateCredits(); credit.GetCredits() < wanted {
		refused := wanted - credit.GetCredits()
		credit.RetryAfterMillis = uint32(known.returnAfter(now, refused).Milliseconds()) + 1
	}
	return credit
}

// bucketOf returns the bucket of what is needed, a new one where there is none.
func (o *owner) bucketOf(now time.Time, need *lapisv1.AllowanceNeed, revision uint64) *bucket {
	name := need.GetAllowance()
	if known := o.buckets[name]; known != nil {
		return known
	}
	if len(o.buckets) >= maxBuckets || need.GetPerSecond() <= 0 {
		return nil
	}
	added := newBucket(limitOf(need), revision, o.bounds, o.votes.share(o.self, name), o.leadingSince)
	o.buckets[name] = added
	return added
}

func limitOf(need *lapisv1.AllowanceNeed) Limit {
	return Limit{Rate: need.GetPerSecond(), Burst: need.GetBurst()}
}
