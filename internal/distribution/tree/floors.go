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

// Timing of floor requests.
const (
	// floorBatchDelay is the delay before a reader reads the accept register, so that one read
	// answers the requests of many daemons that start at the same time.
	floorBatchDelay = 50 * time.Millisecond
	// floorReadTimeout limits the read of the accept register, after which a reader derives the
	// floor from the revisions held by the readers. It must be shorter than
	// objectapi.RequestTimeout.
	floorReadTimeout = 2 * time.Second
	// floorRetryInterval is the mean delay before a daemon repeats a floor request that no majority
	// of the readers could answer.
	floorRetryInterval = time.Second
)

// requestOwnFloor requests the floor of this node.
func (n *Node) requestOwnFloor() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.floors.Ask(n.applyFloor)
	n.startFloorRead()
}

// applyFloor handles the reply to this node's own floor request; the caller holds mutex.
func (n *Node) applyFloor(reply *lapisv1.FloorReply) {
	if reply.GetUnavailable() {
		n.config.Logger.Info("tree.no_floor", "code", uint32(result.DistributionNoFloor))
		time.AfterFunc(floorRetryInterval/2+rand.N(floorRetryInterval), n.requestOwnFloor)
		return
	}
	n.floor = reply.GetRevision()
	n.floorKnown = true
	n.publish()
}

// requestChildFloor requests a floor on behalf of a child; the caller holds mutex.
func (n *Node) requestChildFloor(session *childSession, id uint64) {
	n.floors.Ask(func(reply *lapisv1.FloorReply) {
		session.floorReplies = append(session.floorReplies, &lapisv1.FloorReply{
			Id: id, Revision: reply.GetRevision(), Authority: reply.GetAuthority(), Unavailable: reply.GetUnavailable(),
		})
		session.signal()
	})
	n.startFloorRead()
}

// startFloorRead forwards a pending floor request as soon as there is a path to a reader: a reader
// reads the accept register, any other node sends the request to its parent. The caller holds
// mutex.
func (n *Node) startFloorRead() {
	if !n.floors.Pending() || n.floorRequestInFlight || len(n.path) == 0 {
		return
	}
	if n.reader {
		n.floorRequestInFlight = true
		n.floorReadID++
		go n.readFloor(n.floorReadID)
		return
	}
	if n.parent != nil {
		n.floorRequestInFlight = true
		n.parent.floorRequestDue = true
		n.parent.signal()
	}
}

// answerFloor passes a reply to the requests that it answers; the caller holds mutex.
func (n *Node) answerFloor(reply *lapisv1.FloorReply) {
	n.floorRequestInFlight = false
	n.floors.Answer(reply)
	n.startFloorRead()
}

// abortFloorRead cancels a floor request whose read or parent was lost, so that it is issued again.
// The caller holds mutex.
func (n *Node) abortFloorRead() {
	if n.floorRequestInFlight {
		n.floorRequestInFlight = false
		n.floorReadID++
		n.floors.Abort()
	}
}

// readFloor reads the floor from the accept register or, during an outage, derives it from the
// revisions held by the readers. read identifies the read: its result is discarded when another
// read has started or this one was aborted, because it may be too old for the requests now pending.
func (n *Node) readFloor(read uint64) {
	time.Sleep(floorBatchDelay)
	ctx, cancel := context.WithTimeout(context.Background(), floorReadTimeout)
	defer cancel()
	revision, err := changelog.HeadRevision(ctx, n.config.Store)
	reply := &lapisv1.FloorReply{Revision: revision, Authority: lapisv1.FloorReply_AUTHORITY_SOURCE}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if read != n.floorReadID {
		return
	}
	if err != nil {
		n.logStoreError("reading the accept register", err)
		reply = revisionfloor.DuringOutage(n.readerView())
	}
	n.answerFloor(reply)
}

// readerView returns the state that this reader knows without the object API; the caller holds
// mutex.
func (n *Node) readerView() revisionfloor.ReaderView {
	view := revisionfloor.ReaderView{
		Head:           n.holdings.Revision(),
		SubtreeHighest: n.report().GetHighestRevision(),
	}
	for _, link := range n.mesh {
		if link.connected {
			view.PeerHeads = append(view.PeerHeads, link.peerHeadRevision)
		}
	}
	view.KnownReaders = max(len(n.seats.LastKnownHolders(seat.Prefix)), 1)
	return view
}
