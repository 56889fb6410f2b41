package allowance

import "time"

// voteLapse is how long a vote counts after it was last renewed. It must be below abandonAfter, by more
// than a message takes and votes are looked at (lapseCheck).
const voteLapse = 1200 * time.Millisecond

// Where wholeShare of the daemons or more see a daemon as the owner, it lends the whole rate, where
// noneShare or fewer do nothing, and in between that part of the rate. Several owners at the same
// time then lend no more than one: beside one with wholeShare no other has more than noneShare. A third
// of the daemons may be gone without loss; with more gone, what is left lends its part, since those that
// are gone may be cut off and lend theirs.
const (
	wholeShare = 2.0 / 3
	noneShare  = 1.0 / 3
)

// lendingShare returns the part of the rate that an owner lends which a part of the daemons sees as
// the owner.
func lendingShare(voters float64) float64 {
	switch {
	case voters >= wholeShare:
		return 1
	case voters <= noneShare:
		return 0
	default:
		return voters
	}
}

// Link stands for one connection from another daemon; it only has to be comparable.
type Link any

// vote is the view that a daemon stated.
type vote struct {
	link  Link
	view  view
	heard time.Time
}

// votes are the views of the daemons as they stated them here. Each daemon states one view at a
// time, so that the voters of two owners of an allowance are different daemons.
type votes struct {
	byNode map[string]*vote
	// counts are the numbers of voters by the key of their view.
	counts map[string]*viewCount
	// members is the number of daemons known.
	members int
}

type viewCount struct {
	view   view
	voters int
}

func newVotes() *votes {
	return &votes{byNode: map[string]*vote{}, counts: map[string]*viewCount{}, members: 1}
}

// state records a view that a daemon stated on a link.
func (v *votes) state(now time.Time, node string, link Link, stated view) {
	v.remove(node)
	v.byNode[node] = &vote{link: link, view: stated, heard: now}
	count := v.counts[stated.key]
	if count == nil {
		count = &viewCount{view: stated}
		v.counts[stated.key] = count
	}
	count.voters++
}

// hear records a sign of life on a link. One that comes after the vote lapsed does not
// revive it: the daemon may have voted elsewhere meanwhile.
func (v *votes) hear(now time.Time, node string, link Link) {
	known := v.byNode[node]
	if known != nil && known.link == link && now.Sub(known.heard) < voteLapse {
		known.heard = now
	}
}

// leave records the end of a link.
func (v *votes) leave(node string, link Link) {
	if known := v.byNode[node]; known != nil && known.link == link {
		v.remove(node)
	}
}

func (v *votes) remove(node string) {
	known := v.byNode[node]
	if known == nil {
		return
	}
	delete(v.byNode, node)
	count := v.counts[known.view.key]
	count.voters--
	if count.voters == 0 {
		delete(v.counts, known.view.key)
	}
}

// lapsed returns the daemons whose vote no longer counts, with the time since which it does not.
func (v *votes) lapsed(now time.Time) (nodes []string, since time.Time) {
	for node, known := range v.byNode {
		if now.Sub(known.heard) < voteLapse {
			continue
		}
		nodes = append(nodes, node)
		if at := known.heard.Add(voteLapse); since.IsZero() || at.Before(since) {
			since = at
		}
	}
	return nodes, since
}

// share returns the part of the rate of an allowance that node may lend.
func (v *votes) share(node, allowance string) float64 {
	voters := 0
	for _, count := range v.counts {
		if count.view.ownerOf(allowance) == node {
			voters += count.voters
		}
	}
	return lendingShare(v.part(voters))
}

// leading returns the view of most voters, and whether its owners lend their whole rates, so that
// no others lend anything.
func (v *votes) leading() (key string, whole bool) {
	most := 0
	for known, count := range v.counts {
		if count.voters > most || (count.voters == most && known < key) {
			key, most = known, count.voters
		}
	}
	return key, lendingShare(v.part(most)) == 1
}

// part returns which part of the daemons so many voters are.
func (v *votes) part(voters int) float64 {
	return float64(voters) / float64(max(v.members, len(v.byNode)))
}
