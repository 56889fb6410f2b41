package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// ownerCount is the number of daemons that own allowances. All daemons keep a connection to
// each of them; with several, the questions of a fleet and the loss of an owner concern a part of
// the allowances.
const ownerCount = 4

// spareCount is the number of daemons that are next in order and connected to as well, so that
// the loss of an owner finds the connection to the next one open.
const spareCount = 1

// maxMembers bounds the daemons that are remembered.
const maxMembers = 32768

// ownersKey ranks daemons as owners, the same way everywhere.
const ownersKey = "owners of allowances"

// abandonAfter is how long a daemon that is out of reach keeps its place as an owner, after its
// connection was lost, it did not answer, or this daemon started without reaching it. The vote there
// has lapsed by then (voteLapse), so that this daemon may vote for another owner.
const abandonAfter = 1500 * time.Millisecond

// viewInterval is how often a view is made anew, since waits end by themselves.
const viewInterval = 100 * time.Millisecond

// contact is what is known of the connection to a daemon that may be an owner.
type contact int

const (
	// untried: no connection has been open since the daemon became a candidate.
	untried contact = iota
	connected
	lost
	// ended: the process is known to have ended.
	ended
)

// member is another daemon, or this one.
type member struct {
	node    string
	score   uint64
	contact contact
	// since is when contact came about; zero while an untried one is no candidate.
	since time.Time
}

// abandoned reports whether others take the daemon's place as an owner.
func (m *member) abandoned(now time.Time) bool {
	switch m.contact {
	case connected:
		return false
	case ended:
		return true
	default:
		return !m.since.IsZero() && now.Sub(m.since) >= abandonAfter
	}
}

// ranking is the order of the daemons as owners.
type ranking struct {
	self string
	// ordered holds all members known, the first choice first.
	ordered []*member
	byNode  map[string]*member
	// grownAt is when a member was last added.
	grownAt time.Time
	// current is the view as of currentAt; stale is true since what it rests on has changed.
	current   view
	currentAt time.Time
	stale     bool
}

func newRanking(self string, now time.Time) *ranking {
	r := &ranking{self: self, byNode: map[string]*member{}}
	r.add(now, self)
	r.byNode[self].contact = connected
	return r
}

// add records daemons that are not known yet. None is ever taken away: that a daemon is gone
// for good looks like a cut.
func (r *ranking) add(now time.Time, nodes ...string) {
	for _, node := range nodes {
		if r.byNode[node] != nil || len(r.ordered) >= maxMembers {
			continue
		}
		added := &member{node: node, score: rendezvous.Score(ownersKey, node)}
		r.byNode[node] = added
		at, _ := slices.BinarySearchFunc(r.ordered, added, compareMembers)
		r.ordered = slices.Insert(r.ordered, at, added)
		r.grownAt = now
		r.stale = true
	}
}

func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
}

// setContact records how a daemon can be reached. One whose process has ended stays so until it
// is connected again.
func (r *ranking) setContact(now time.Time, node string, state contact) {
	known := r.byNode[node]
	if known == nil || known.contact == state || (known.contact == ended && state == lost) {
		return
	}
	if known.contact == untried && state == lost {
		return
	}
	known.contact, known.since = state, now
	r.stale = true
}

// candidates returns the daemons to keep connections to: the owners and the spare ones, and those
// that are abandoned but would come before.
func (r *ranking) candidates(now time.Time) []string {
	var nodes []string
	present := 0
	for _, known := range r.ordered {
		if present == ownerCount+spareCount {
			break
		}
		if known.contact == untried && known.since.IsZero() {
			known.since = now
		}
		if !known.abandoned(now) {
			present++
		}
		nodes = append(nodes, known.node)
	}
	return nodes
}

// view returns the owners.
func (r *ranking) view(now time.Time) view {
	if r.stale || now.Sub(r.currentAt) >= viewInterval {
		r.current, r.currentAt, r.stale = r.newView(now), now, false
	}
	return r.current
}

func (r *ranking) newView(now time.Time) view {
	var owners []string
	for _, node := range r.candidates(now) {
		if len(owners) < ownerCount && !r.byNode[node].abandoned(now) {
			owners = append(owners, node)
		}
	}
	return newView(owners)
}
