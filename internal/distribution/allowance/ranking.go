package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// ownerCount is the number of daemons that own allowances. All daemons keep a connection to each of
// them. Several owners divide the load of asks, and the loss of one concerns only a part of the
// allowances.
const ownerCount = 4

// spareCount is the number of daemons ranked directly after the owners to which connections are
// kept as well, so that the successor of a lost owner is already connected.
const spareCount = 1

// maxMembers bounds the number of known daemons.
const maxMembers = 32768

// ownersKey is the rendezvous hashing key that ranks daemons as owners, the same on all daemons.
const ownersKey = "owners of allowances"

// ownerReplaceTimeout is how long an unreachable daemon keeps its place as an owner. It counts from
// the loss of the connection, from an ask that timed out, or, for a daemon that was never reached,
// from when it became a candidate. It must be longer than voteTTL, so that this daemon's vote there
// has expired before it votes for another owner.
const ownerReplaceTimeout = 1500 * time.Millisecond

// viewRefreshInterval is the interval at which the view is recomputed, since replacement timeouts
// expire without an event.
const viewRefreshInterval = 100 * time.Millisecond

// contact is the connection state of a daemon that may be an owner.
type contact int

const (
	// untried: no connection has been open since the daemon became a candidate.
	untried contact = iota
	connected
	lost
	// ended: the process is known to have ended.
	ended
)

// member is a known daemon, this one included.
type member struct {
	node    string
	score   uint64
	contact contact
	// contactSince is when contact last changed. It is zero for an untried daemon that is not yet a
	// candidate.
	contactSince time.Time
}

// isReplaced reports whether another daemon takes this one's place as an owner.
func (m *member) isReplaced(now time.Time) bool {
	switch m.contact {
	case connected:
		return false
	case ended:
		return true
	default:
		return !m.contactSince.IsZero() && now.Sub(m.contactSince) >= ownerReplaceTimeout
	}
}

// ranking orders the known daemons by their preference as owners.
type ranking struct {
	self string
	// ordered holds all known members, the most preferred first.
	ordered []*member
	byNode  map[string]*member
	// lastMemberAddedAt is when a member was last added.
	lastMemberAddedAt time.Time
	// current is the view computed at currentAt. stale is true after its inputs changed.
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

// add records new daemons. Members are never removed, because a daemon that is gone for good cannot
// be distinguished from one behind a network partition.
func (r *ranking) add(now time.Time, nodes ...string) {
	for _, node := range nodes {
		if r.byNode[node] != nil || len(r.ordered) >= maxMembers {
			continue
		}
		m := &member{node: node, score: rendezvous.Score(ownersKey, node)}
		r.byNode[node] = m
		at, _ := slices.BinarySearchFunc(r.ordered, m, compareMembers)
		r.ordered = slices.Insert(r.ordered, at, m)
		r.lastMemberAddedAt = now
		r.stale = true
	}
}

// compareMembers orders members by descending score, then by name.
func compareMembers(a, b *member) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
}

// setContact records the connection state of a daemon. A daemon whose process has ended keeps that
// state until it is connected again.
func (r *ranking) setContact(now time.Time, node string, state contact) {
	m := r.byNode[node]
	if m == nil || m.contact == state || (m.contact == ended && state == lost) {
		return
	}
	if m.contact == untried && state == lost {
		return
	}
	m.contact, m.contactSince = state, now
	r.stale = true
}

// candidates returns the daemons to keep connections to: the owners, the spare ones, and replaced
// daemons that rank before them.
func (r *ranking) candidates(now time.Time) []string {
	var nodes []string
	present := 0
	for _, m := range r.ordered {
		if present == ownerCount+spareCount {
			break
		}
		if m.contact == untried && m.contactSince.IsZero() {
			m.contactSince = now
		}
		if !m.isReplaced(now) {
			present++
		}
		nodes = append(nodes, m.node)
	}
	return nodes
}

// view returns the current owners.
func (r *ranking) view(now time.Time) view {
	if r.stale || now.Sub(r.currentAt) >= viewRefreshInterval {
		r.current, r.currentAt, r.stale = r.newView(now), now, false
	}
	return r.current
}

// newView returns the view of the first ownerCount candidates that are not replaced.
func (r *ranking) newView(now time.Time) view {
	var owners []string
	for _, node := range r.candidates(now) {
		if len(owners) < ownerCount && !r.byNode[node].isReplaced(now) {
			owners = append(owners, node)
		}
	}
	return newView(owners)
}
