package tree

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/revisionfloor"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Times of floor requests.
const (
	// floorSpacing is the wait before a reader reads the accept register, so that one
	// read answers the requests of many daemons that start together.
	floorSpacing = 50 * time.Millisecond
	// floorReadTimeout is how long a reader waits for the accept register before it
	// answers from what the readers hold. It must be shorter than the time for which one
	// request to the object API may last (objectapi.RequestTimeout).
	floorReadTimeout = 2 * time.Second
	// floorRetry is the middle of the wait before a daemon asks again after no majority
	// of the readers could answer.
	floorRetry = time.Second
)

// requestOwnFloor asks for the floor of this node itself.
func (n *Node) requestOwnFloor() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.floors.Ask(n.applyFloor)
	n.startFloorRead()
}

// applyFloor receives the answer for this node; the caller holds mutex.
func (n *Node) applyFloor(reply *lapisv1.FloorReply) {
	if reply.GetUnavailable() {
		n.config.Logger.Info("tree.no_floor", "code", uint32(result.DistributionNoFloor))
		time.AfterFunc(floorRetry/2+rand.N(floorRetry), n.requestOwnFloor)
		return
	}
	n.floor = reply.GetRevision()
	n.floorKnown = true
	n.publish()
}

// requestFloorFor asks on behalf of a child; the caller holds mutex.
func (n *Node) requestFloorFor(session *childSession, id uint64) {
	n.floors.Ask(func(reply *lapisv1.FloorReply) {
		session.floorReplies = append(session.floorReplies, &lapisv1.FloorReply{
			Id: id, Revision: reply.GetRevision(), Authority: reply.GetAuthority(), Unavailable: reply.GetUnavailable(),
		})
		session.signal()
	})
	n.startFloorRead()
}

// startFloorRead passes a pending floor request on, a reader to the object API and any other node
// to its parent, as soon as there is a path to a reader. The caller holds mutex.
func (n *Node) startFloorRead() {
	if !n.floors.Pending() || n.floorIssued || len(n.path) == 0 {
		return
	}
	if n.reader {
		n.floorIssued = true
		n.floorReads++
		go n.readFloor(n.floorReads)
		return
	}
	if n.parent != nil {
		n.floorIssued = true
		n.parent.floorRequestDue = true
		n.parent.signal()
	}
}

// answerFloor hands a reply to the requests that wait for it; the caller holds mutex.
func (n *Node) answerFloor(reply *lapisv1.FloorReply) {
	n.floorIssued = false
	n.floors.Answer(reply)
	n.startFloorRead()
}

// abortFloorRead takes back a request whose reader or parent is lost; it is sent again to the
// next parent. The caller holds mutex.
func (n *Node) abortFloorRead() {
	if n.floorIssued {
		n.floorIssued = false
		n.floorReads++
		n.floors.Abort()
	}
}

// readFloor answers from the accept register or, during an outage, from what the readers hold.
// read is its number; once another one began or this one was given up, its answer may be too
// old for the requests that wait, and counts no more.
func (n *Node) readFloor(read uint64) {
	time.Sleep(floorSpacing)
	ctx, cancel := context.WithTimeout(context.Background(), floorReadTimeout)
	defer cancel()
	revision, err := changelog.HeadRevision(ctx, n.config.Store)
	reply := &lapisv1.FloorReply{Revision: revision, Authority: lapisv1.FloorReply_AUTHORITY_SOURCE}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if read != n.floorReads {
		return
	}
	if err != nil {
		n.logStoreError("reading the accept register", err)
		reply = revisionfloor.DuringOutage(n.readerView())
	}
	n.answerFloor(reply)
}

// readerView returns what this reader knows without the object API; the caller holds mutex.
func (n *Node) readerView() revisionfloor.ReaderView {
	view := revisionfloor.ReaderView{
		Head:           n.holdings.Revision(),
		SubtreeHighest: n.report().GetHighestRevision(),
	}
	for _, link := range n.mesh {
		if link.connected {
			view.PeerHeads = append(view.PeerHeads, link.peerHead)
		}
	}
	view.KnownReaders = max(len(n.seats.KnownHolders(seat.Prefix)), 1)
	return view
}
