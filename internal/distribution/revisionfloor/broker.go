// Package revisionfloor determines the lowest revision that a starting daemon may apply. Daemons
// keep no state on disk, so the replacement of a daemon does not know which revision was in force
// before. It therefore requests a floor: a revision that is not older than any accepted before the
// request. A reader answers from the accept register; one read answers all requests received before
// it began.
//
// Broker holds the pending requests of one daemon; the package has no goroutines, connections or
// files. Package tree sends the requests up the tree, reads the register and delivers the replies.
//
// Invariants: a request is never answered by a read that began before the request was received, and
// a request is not lost when the connection to the parent is.
package revisionfloor

import "github.com/lapisvane/lapisvane/api/lapisv1"

// ReplyFunc receives the reply to one request.
type ReplyFunc func(*lapisv1.FloorReply)

// Broker coalesces floor requests so that at most one read of the floor is in flight. A reader reads
// the accept register; any other daemon asks its parent. The caller starts a read when Ask, Answer or
// Abort returns true, or later while Pending returns true, and reports its outcome with Answer, or
// with Abort when there will be none. It is not safe for concurrent use.
type Broker struct {
	// queued holds the requests received after the read in flight began. That read must not answer
	// them, because it may miss a revision accepted before the request was received.
	queued []ReplyFunc
	// inFlight holds the requests that the read in flight answers.
	inFlight     []ReplyFunc
	readInFlight bool
}

// Ask adds a request and reports whether the caller must start a read.
func (b *Broker) Ask(waiter ReplyFunc) (start bool) {
	b.queued = append(b.queued, waiter)
	return b.beginRead()
}

// Answer passes reply to the requests received before the read began, and reports whether the
// caller must start another read.
func (b *Broker) Answer(reply *lapisv1.FloorReply) (start bool) {
	answered := b.inFlight
	b.inFlight = nil
	b.readInFlight = false
	for _, waiter := range answered {
		waiter(reply)
	}
	return b.beginRead()
}

// Abort requeues the requests of the read in flight, because it will not complete, and reports
// whether the caller must start another read.
func (b *Broker) Abort() (start bool) {
	b.queued = append(b.inFlight, b.queued...)
	b.inFlight = nil
	b.readInFlight = false
	return b.beginRead()
}

// Pending reports whether a read must be started or is in flight.
func (b *Broker) Pending() bool { return b.readInFlight }

func (b *Broker) beginRead() bool {
	if b.readInFlight || len(b.queued) == 0 {
		return false
	}
	b.readInFlight = true
	b.inFlight = b.queued
	b.queued = nil
	return true
}

// ReaderView is the state that a reader knows when the accept register cannot be read.
type ReaderView struct {
	// Head is the newest revision of the reader itself.
	Head uint64
	// SubtreeHighest is the highest revision reported by the subtree.
	SubtreeHighest uint64
	// PeerHeads holds the newest revisions of the readers to which there is a link, each as of the
	// last heartbeat of that reader.
	PeerHeads []uint64
	// KnownReaders is the number of readers that were last seen holding seats, including this one.
	KnownReaders int
}

// DuringOutage determines the floor while the accept register cannot be read. No revision can be
// accepted during the outage, and every revision in force was distributed by a reader. Therefore
// the highest revision among a majority of the last known readers and their subtrees is a floor.
// Without a majority the reply is Unavailable, and the daemon that asked applies no version until a
// repeated request is answered. A revision that reached a daemon only through readers that were
// lost before any other reader had it is not covered.
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
