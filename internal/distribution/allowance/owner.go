package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// maxBuckets bounds the number of allowances that an owner keeps buckets for. Further allowances
// get no credit.
const maxBuckets = 16384

// voteExpiryInterval is the interval at which expired votes are looked for. It adds to voteTTL.
const voteExpiryInterval = 100 * time.Millisecond

// owner lends credit of the allowances that this daemon owns.
type owner struct {
	self   string
	bounds Bounds
	// started is the origin of the time stamps of loans.
	started time.Time
	votes   *votes
	buckets map[string]*bucket
	// lastSequences holds the newest sequence number per open link, so that a repeated ask counts
	// once.
	lastSequences map[Link]uint64
	// lastViewNumbers holds the number of the newest view per open link.
	lastViewNumbers map[Link]uint64
	expiryCheckedAt time.Time
	// leadingKey is the key of the view with the largest number of voters. leadingFullRate is true
	// while these are enough to lend the full rate. Both have held since leadingSince; before that,
	// another owner could have lent credit of an allowance that is new here.
	leadingKey      string
	leadingFullRate bool
	leadingSince    time.Time
}

func newOwner(self string, bounds Bounds, now time.Time) *owner {
	return &owner{
		self: self, bounds: bounds, started: now, votes: newVotes(), buckets: map[string]*bucket{}, lastSequences: map[Link]uint64{}, lastViewNumbers: map[Link]uint64{},
		expiryCheckedAt: now, leadingSince: now,
	}
}

// applyChange refills all buckets up to at, applies a change to the votes, and updates the shares
// of the buckets.
func (o *owner) applyChange(at time.Time, apply func()) {
	for _, b := range o.buckets {
		b.refill(at, o.bounds)
	}
	apply()
	leadingKey, fullRate := o.votes.leading()
	if !fullRate || !o.leadingFullRate || leadingKey != o.leadingKey {
		o.leadingKey, o.leadingFullRate, o.leadingSince = leadingKey, fullRate, at
	}
	for name, b := range o.buckets {
		b.setShare(at, o.votes.share(o.self, name), o.bounds)
	}
}

// openLink records a new link from another daemon.
func (o *owner) openLink(link Link) { o.lastSequences[link] = 0 }

func (o *owner) setMembers(now time.Time, members int) {
	if members != o.votes.members {
		o.dropExpiredVotes(now)
		o.applyChange(now, func() { o.votes.members = members })
	}
}

// setFleetKnown records that the known members are the fleet.
func (o *owner) setFleetKnown(now time.Time) {
	o.dropExpiredVotes(now)
	o.applyChange(now, func() { o.votes.fleetKnown = true })
}

// recordView counts a view as the vote of a daemon, or renews the vote if the view is unchanged.
func (o *owner) recordView(now time.Time, node string, link Link, stated view) {
	o.dropExpiredVotes(now)
	if vote := o.votes.byNode[node]; vote != nil && vote.view.key == stated.key {
		vote.link, vote.renewedAt = link, now
		return
	}
	o.applyChange(now, func() { o.votes.recordView(now, node, link, stated) })
}

func (o *owner) renewVote(now time.Time, node string, link Link) { o.votes.renewVote(now, node, link) }

// closeLink forgets a link that has ended and removes the vote that came over it.
func (o *owner) closeLink(now time.Time, node string, link Link) {
	delete(o.lastSequences, link)
	delete(o.lastViewNumbers, link)
	if vote := o.votes.byNode[node]; vote == nil || vote.link != link {
		return
	}
	o.dropExpiredVotes(now)
	o.applyChange(now, func() { o.votes.closeLink(node, link) })
}

// dropExpiredVotes removes expired votes, as of the time at which the first of them expired.
func (o *owner) dropExpiredVotes(now time.Time) {
	o.expiryCheckedAt = now
	nodes, since := o.votes.expired(now)
	if len(nodes) == 0 {
		return
	}
	o.applyChange(since, func() {
		for _, node := range nodes {
			o.votes.remove(node)
		}
	})
}

// acceptNewerView reports whether a view is newer than all views received on a link so far, and
// records its number. Messages may overtake each other before they are written to the link.
func (o *owner) acceptNewerView(link Link, number uint64) bool {
	if number <= o.lastViewNumbers[link] {
		return false
	}
	o.lastViewNumbers[link] = number
	return true
}

// confirmView returns a grant that confirms the view of an ask, or that asks for the view of a daemon
// whose vote does not count; nil if neither is due. A daemon without calls would otherwise not learn that
// its vote expired, and never vote again.
func (o *owner) confirmView(node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	wanted := ask.GetRenew() && o.votes.byNode[node] == nil
	if ask.GetView() == nil && !wanted {
		return nil
	}
	return &lapisv1.AllowanceGrant{ViewWanted: wanted, ViewNumber: o.lastViewNumbers[link]}
}

// grant answers an ask. It returns nil for an ask that was answered before or whose link has ended.
func (o *owner) grant(now time.Time, node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	newest, open := o.lastSequences[link]
	if !open || ask.GetSequence() <= newest {
		return nil
	}
	o.lastSequences[link] = ask.GetSequence()
	if now.Sub(o.expiryCheckedAt) >= voteExpiryInterval {
		o.dropExpiredVotes(now)
	}
	grant := &lapisv1.AllowanceGrant{Sequence: ask.GetSequence(), ViewWanted: o.votes.byNode[node] == nil, ViewNumber: o.lastViewNumbers[link]}
	for _, need := range ask.GetNeeds() {
		grant.Credits = append(grant.Credits, o.lend(now, need, ask.GetRevision()))
	}
	return grant
}

// lend answers one need of an ask.
func (o *owner) lend(now time.Time, need *lapisv1.AllowanceNeed, revision uint64) *lapisv1.AllowanceCredit {
	response := &lapisv1.AllowanceCredit{Allowance: need.GetAllowance()}
	b := o.bucketOf(now, need, revision)
	if b == nil || b.share == 0 {
		response.NotOwner = true
		response.RetryAfterMillis = uint32(ownerReplaceTimeout.Milliseconds())
		return response
	}
	b.refill(now, o.bounds)
	b.setLimit(limitOf(need), revision, o.bounds)
	if need.GetReturned() > 0 {
		b.takeBack(need.GetReturned(), o.started.Add(time.Duration(need.GetReturnedLentAt())))
	}
	response.LentAt = uint64(now.Sub(o.started))
	response.Credits = b.lend(now, need.GetCredits(), need.GetLateCredits())
	if wanted := need.GetCredits() + need.GetLateCredits(); response.GetCredits() < wanted {
		refused := wanted - response.GetCredits()
		response.RetryAfterMillis = uint32(b.retryAfter(now, refused).Milliseconds()) + 1
	}
	return response
}

// bucketOf returns the bucket of the needed allowance, creating it if necessary. It returns nil if
// there are too many.
func (o *owner) bucketOf(now time.Time, need *lapisv1.AllowanceNeed, revision uint64) *bucket {
	name := need.GetAllowance()
	if b := o.buckets[name]; b != nil {
		return b
	}
	if len(o.buckets) >= maxBuckets || need.GetPerSecond() <= 0 {
		return nil
	}
	b := newBucket(limitOf(need), revision, o.bounds, o.votes.share(o.self, name), o.leadingSince)
	o.buckets[name] = b
	return b
}

func limitOf(need *lapisv1.AllowanceNeed) Limit {
	return Limit{Rate: need.GetPerSecond(), Burst: need.GetBurst()}
}
