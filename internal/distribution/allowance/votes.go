package allowance

import "time"

// voteTTL is how long a vote counts after its last renewal. It must be shorter than
// ownerReplaceTimeout by more than the transit time of a message plus voteExpiryInterval.
const voteTTL = 1200 * time.Millisecond

// An owner lends the full rate if at least fullRateVoteShare of the daemons vote for it, nothing if
// at most zeroRateVoteShare do, and in between its fraction of the votes. Several owners at the
// same time then lend at most the full rate together: beside one with fullRateVoteShare, no other
// has more than zeroRateVoteShare. Up to a third of the daemons may be gone without loss. If more
// are gone, the rest lends only its fraction, since the others may be partitioned and lend theirs.
const (
	fullRateVoteShare = 2.0 / 3
	zeroRateVoteShare = 1.0 / 3
)

// rateShareOf returns the fraction of the rate that an owner with a fraction of the votes may lend.
func rateShareOf(voteShare float64) float64 {
	switch {
	case voteShare >= fullRateVoteShare:
		return 1
	case voteShare <= zeroRateVoteShare:
		return 0
	default:
		return voteShare
	}
}

// Link identifies one connection from another daemon. It only has to be comparable.
type Link any

// vote is the view that a daemon stated.
type vote struct {
	link      Link
	view      view
	renewedAt time.Time
}

// votes holds the views that daemons stated to this one. Each daemon states one view at a time, so
// that two owners of an allowance have disjoint voters.
type votes struct {
	byNode map[string]*vote
	// counts holds the number of voters by the key of their view.
	counts map[string]*viewCount
	// members is the number of known daemons. fleetKnown is true once these are the whole fleet as far as
	// it can be known (Participant.FleetKnown).
	members    int
	fleetKnown bool
}

// viewCount is a view and the number of daemons that stated it.
type viewCount struct {
	view   view
	voters int
}

func newVotes() *votes {
	return &votes{byNode: map[string]*vote{}, counts: map[string]*viewCount{}, members: 1}
}

// recordView records the view that a daemon stated on a link.
func (v *votes) recordView(now time.Time, node string, link Link, stated view) {
	v.remove(node)
	v.byNode[node] = &vote{link: link, view: stated, renewedAt: now}
	count := v.counts[stated.key]
	if count == nil {
		count = &viewCount{view: stated}
		v.counts[stated.key] = count
	}
	count.voters++
}

// renewVote extends the vote of a daemon that was heard on a link. An expired vote is not revived,
// since the daemon may have voted for another owner meanwhile.
func (v *votes) renewVote(now time.Time, node string, link Link) {
	vote := v.byNode[node]
	if vote != nil && vote.link == link && now.Sub(vote.renewedAt) < voteTTL {
		vote.renewedAt = now
	}
}

// closeLink removes the vote that came over a link.
func (v *votes) closeLink(node string, link Link) {
	if vote := v.byNode[node]; vote != nil && vote.link == link {
		v.remove(node)
	}
}

func (v *votes) remove(node string) {
	vote := v.byNode[node]
	if vote == nil {
		return
	}
	delete(v.byNode, node)
	count := v.counts[vote.view.key]
	count.voters--
	if count.voters == 0 {
		delete(v.counts, vote.view.key)
	}
}

// expired returns the daemons whose votes have expired, and when the first of them did.
func (v *votes) expired(now time.Time) (nodes []string, since time.Time) {
	for node, vote := range v.byNode {
		if now.Sub(vote.renewedAt) < voteTTL {
			continue
		}
		nodes = append(nodes, node)
		if at := vote.renewedAt.Add(voteTTL); since.IsZero() || at.Before(since) {
			since = at
		}
	}
	return nodes, since
}

// share returns the fraction of the rate of an allowance that node may lend.
func (v *votes) share(node, allowance string) float64 {
	voters := 0
	for _, count := range v.counts {
		if count.view.ownerOf(allowance) == node {
			voters += count.voters
		}
	}
	return rateShareOf(v.voteShare(voters))
}

// leading returns the view with the largest number of voters, and whether its owners may lend their
// full rates. In that case no other owners lend anything.
func (v *votes) leading() (key string, fullRate bool) {
	highest := 0
	for candidate, count := range v.counts {
		if count.voters > highest || (count.voters == highest && candidate < key) {
			key, highest = candidate, count.voters
		}
	}
	return key, rateShareOf(v.voteShare(highest)) == 1
}

// voteShare returns the fraction of the daemons that a number of voters makes up; 0 while their number
// is not known. A daemon that has just started would otherwise take itself for the whole fleet.
func (v *votes) voteShare(voters int) float64 {
	if !v.fleetKnown {
		return 0
	}
	return float64(voters) / float64(max(v.members, len(v.byNode)))
}
