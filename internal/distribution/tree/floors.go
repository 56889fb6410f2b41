package tree

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/revisionfloor"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of floor questions.
const (
	// floorSpacing is the shortest time between two reads by one reader.
	floorSpacing = 50 * time.Millisecond
	// floorReadTimeout is how long a reader waits for the accept register
	// before it asks what the readers vouch for.
	floorReadTimeout = 2 * time.Second
	// floorRetry is when a daemon asks again after nobody could vouch.
	floorRetry = time.Second
)

// askOwnFloor asks for the floor of this node itself.
func (n *Node) askOwnFloor() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.floors.Ask(n.takeOwnFloor)
	n.startFloorRead()
}

// takeOwnFloor receives the answer for this node; the caller holds mutex.
func (n *Node) takeOwnFloor(reply *lapisv1.FloorReply) {
	if reply.GetUnavailable() {
		n.config.Logger.Info("tree.no_floor", "code", uint32(result.DistributionNoFloor))
		time.AfterFunc(floorRetry/2+rand.N(floorRetry), n.askOwnFloor)
		return
	}
	n.floor = reply.GetRevision()
	n.floorKnown = true
	n.publish()
}

// askFloorFor asks on behalf of a child; the caller holds mutex.
func (n *Node) askFloorFor(session *childSession, id uint64) {
	n.floors.Ask(func(reply *lapisv1.FloorReply) {
		session.floorReplies = append(session.floorReplies, &lapisv1.FloorReply{
			Id: id, Revision: reply.GetRevision(), Authority: reply.GetAuthority(), Unavailable: reply.GetUnavailable(),
		})
		session.signal()
	})
	n.startFloorRead()
}

// startFloorRead passes a wanted question on, when there is a way to; the
// caller holds mutex.
func (n *Node) startFloorRead() {
	if !n.floors.Pending() || n.floorIssued || len(n.path) == 0 {
		return
	}
	if n.reader {
		n.floorIssued = true
		go n.readFloor()
		return
	}
	if n.up != nil {
		n.floorIssued = true
		n.up.askFloor = true
		n.up.signal()
	}
}

// answerFloor hands a reply to all who wait for it; the caller holds mutex.
func (n *Node) answerFloor(reply *lapisv1.FloorReply) {
	n.floorIssued = false
	n.floors.Answer(reply)
	n.startFloorRead()
}

// abortFloorRead forgets a question whose answer cannot come any more; it is
// asked again at the next parent. The caller holds mutex.
func (n *Node) abortFloorRead() {
	if n.floorIssued {
		n.floorIssued = false
		n.floors.Abort()
	}
}

// readFloor answers from the accept register or, during an outage, from what
// the readers vouch for.
func (n *Node) readFloor() {
	time.Sleep(floorSpacing)
	ctx, cancel := context.WithTimeout(context.Background(), floorReadTimeout)
	defer cancel()
	reply := &lapisv1.FloorReply{Authority: lapisv1.FloorReply_AUTHORITY_SOURCE}
	object, err := n.config.Store.Get(ctx, changelog.HeadKey)
	switch {
	case err == nil:
		head := &lapisv1.Revision{}
		if err = proto.Unmarshal(object.Value, head); err == nil {
			reply.Revision = head.GetNumber()
		}
	case result.Is(err, result.PlatformNotFound):
		err = nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err != nil {
		reply = revisionfloor.DuringOutage(n.readerView())
	}
	n.answerFloor(reply)
}

// readerView returns what this reader knows without the object API; the caller
// holds mutex.
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
