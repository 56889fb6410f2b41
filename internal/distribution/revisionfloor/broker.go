// Package revisionfloor decides which revision a starting daemon may apply at the least.
// Machines keep nothing, so a daemon that was replaced cannot know what it had in force
// before; it asks for a floor: a revision that is not older than any accepted before the
// request. A reader answers from the accept register; one read answers all requests that
// came before it began.
//
// It owns the pending requests of one daemon (Broker); no goroutines, connections or
// files. It relies on package tree to send requests up the tree, to read the register and
// to hand over the answers.
//
// What must hold: no request is answered by a read that began before it came, and no
// request is lost when the parent is.
package revisionfloor

import "github.com/lapisvane/lapisvane/api/lapisv1"

// Waiter receives one answer.
type Waiter func(*lapisv1.FloorReply)

// Broker merges floor requests so that at most one read is under way. It is not safe for
// concurrent use. Its user starts a read when Ask, Answer or Abort returns true, or later while
// Pending does, and reports the outcome with Answer, or with Abort when none will come.
type Broker struct {
	// waiting came after the read under way began and must not be answered by it.
	waiting []Waiter
	// reading are answered by the read under way.
	reading []Waiter
	busy    bool
}

// Ask adds a waiter and reports whether a read must be started.
func (b *Broker) Ask(waiter Waiter) (start bool) {
	b.waiting = append(b.waiting, waiter)
	return b.begin()
}

// Answer gives reply to all whose request came before the read began, and
// reports whether another read must be started.
func (b *Broker) Answer(reply *lapisv1.FloorReply) (start bool) {
	answered := b.reading
	b.reading = nil
	b.busy = false
	for _, waiter := range answered {
		waiter(reply)
	}
	return b.begin()
}

// Abort puts the waiters of the read under way back, because its outcome will
// not come, and reports whether another read must be started.
func (b *Broker) Abort() (start bool) {
	b.waiting = append(b.reading, b.waiting...)
	b.reading = nil
	b.busy = false
	return b.begin()
}

// Pending reports whether a read must be started or is under way.
func (b *Broker) Pending() bool { return b.busy }

func (b *Broker) begin() bool {
	if b.busy || len(b.waiting) == 0 {
		return false
	}
	b.busy = true
	b.reading = b.waiting
	b.waiting = nil
	return true
}

// ReaderView is what a reader knows when the accept register cannot be read.
type ReaderView struct {
	// Head is the reader's own newest revision.
	Head uint64
	// SubtreeHighest is the highest revision reported from below.
	SubtreeHighest uint64
	// PeerHeads are the newest revisions of the other readers to which there is a link, each
	// as old as that reader's last heartbeat.
	PeerHeads []uint64
	// KnownReaders is the number of readers last seen in the seats, this one included.
	KnownReaders int
}

// DuringOutage decides the floor while the accept register cannot be read. Nothing can be
// accepted then, and every revision that any daemon has in force came through a reader, so
// the highest revision among a majority of the last known readers and all daemons below
// them is a floor. Without a majority there is no answer, and the daemon that asked stays
// without a version. What remains uncovered is a revision that reached a daemon only
// through readers that were lost before any other had it.
func DuringOutage(view ReaderView) *lapisv1.FloorReply {
	inContact := 1 + len(view.PeerHeads)
	if 2*inContact <= view.KnownReaders {
		return &lapisv1.FloorReply{Unavailable: true}
	}
	highest := max(view.Head, view.SubtreeHighest)
	for _, head := range view.PeerHeads {
		highest = max(highest, head)
	}
	return &lapisv1.FloorReply{Revision: highest, Authority: lapisv1.FloorReply_AUTHORITY_READERS}
}
