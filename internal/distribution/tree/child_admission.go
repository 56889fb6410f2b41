package tree

import (
	"math/rand/v2"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
)

// admit decides whether to accept the child and registers the session of an accepted child.
func (n *Node) admit(session *childSession, hello *lapisv1.Hello) (*lapisv1.Refusal, *lapisv1.Welcome) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if refusal := n.refuseChild(session, hello); refusal != nil {
		n.counts.joinsRefused++
		return refusal, nil
	}
	if previous, ok := n.children[session.node]; ok {
		previous.close()
	}
	n.children[session.node] = session
	n.counts.joinsServed++
	n.widenInterest(session.interest)
	session.signal()
	return nil, &lapisv1.Welcome{
		Node: n.config.Node, Incarnation: n.config.Incarnation,
		Path: n.path, Alternatives: n.alternativeParents(session.node), Readers: n.knownReaders(),
	}
}

// refuseChild returns the refusal for a child that is not accepted, nil for one that is accepted;
// the caller holds mutex. The admission rate limit is checked last, so that only children that are
// otherwise acceptable consume it.
func (n *Node) refuseChild(session *childSession, hello *lapisv1.Hello) *lapisv1.Refusal {
	verdict := membership.DecideJoin(n.asParent(), membership.Joiner{
		Node: session.node, Zone: session.zone, Depth: int(hello.GetSubtreeDepth()), Known: n.children[session.node] != nil,
		Redirected: hello.GetRedirected(), Refusals: int(hello.GetRefusals()),
	})
	if verdict == membership.JoinAccepted {
		if n.joinLimiter.Allow() {
			return nil
		}
		verdict = membership.JoinTooFast
	}
	refusal := membership.RefuseJoin(verdict, rand.Float64())
	return &lapisv1.Refusal{
		Code: uint32(refusal.Code), Reason: refusal.Reason,
		RetryAfterMillis: uint32(refusal.RetryAfter.Milliseconds()),
		Candidates:       n.referrals(refusal.Referral, session),
	}
}

// referrals returns the daemons to which a refused child is redirected; the caller holds mutex.
func (n *Node) referrals(referral membership.Referral, session *childSession) []*lapisv1.PeerAddress {
	switch referral {
	case membership.ReferToZoneReaders:
		return n.zoneReaders()
	case membership.ReferToReaders:
		return n.knownReaders()
	case membership.ReferToChildren:
		return n.redirects(session)
	default:
		return nil
	}
}

// asParent returns the input that membership.DecideJoin needs about this node; the caller holds
// mutex.
func (n *Node) asParent() membership.Parent {
	return membership.Parent{
		Zone: n.config.Zone, Reader: n.reader, Stopping: n.stopping, Path: n.path,
		Children: len(n.children), KnowsReaders: len(n.zoneReaders()) > 0,
		Fanout: n.config.Tunables.Fanout, MaxDepth: n.config.Tunables.MaxDepth,
	}
}

// evictDeepChildren makes the children that have children of their own join another parent, so that
// the subtree of this node becomes shallow enough to be accepted by a parent. The caller holds
// mutex.
func (n *Node) evictDeepChildren() {
	for _, child := range n.children {
		if child.report.GetDepth() > 0 {
			child.evict = true
			child.signal()
		}
	}
}

// reachableChildren returns the children that other daemons can connect to, and the same children
// in the form that package membership needs; the caller holds mutex.
func (n *Node) reachableChildren() (sessions []*childSession, children []membership.Child) {
	for _, child := range n.children {
		if child.address != "" {
			sessions = append(sessions, child)
			children = append(children, membership.Child{
				Node: child.node, Zone: child.zone, Expected: child.expectedNodes,
				NoSeat: child.noSeat, Offered: child.offer != nil,
			})
		}
	}
	return sessions, children
}

// redirects returns the children with the smallest subtrees and adds the size of the joining
// subtree to the first of them, so that children that join at the same time are spread; the caller
// holds mutex.
func (n *Node) redirects(joiner *childSession) []*lapisv1.PeerAddress {
	sessions, children := n.reachableChildren()
	var peers []*lapisv1.PeerAddress
	for position, index := range membership.Redirects(children, joiner.zone, joiner.node, membership.MaxReferrals) {
		child := sessions[index]
		if position == 0 {
			child.expectedNodes += joiner.expectedNodes
		}
		peers = append(peers, n.childPeerAddress(child))
	}
	return peers
}

// alternativeParents returns daemons that can serve a child when this node is lost: readers and
// some of the other children. The caller holds mutex.
func (n *Node) alternativeParents(except string) []*lapisv1.PeerAddress {
	var peers []*lapisv1.PeerAddress
	for _, holder := range n.knownReaders() {
		if len(peers) < membership.MaxReferrals && holder.GetNode() != except {
			peers = append(peers, holder)
		}
	}
	for _, child := range n.children {
		if len(peers) >= 2*membership.MaxReferrals {
			break
		}
		if child.node != except && child.address != "" {
			peers = append(peers, n.childPeerAddress(child))
		}
	}
	return peers
}

// childPeerAddress returns the address of a child in the form that is sent to other daemons.
func (n *Node) childPeerAddress(child *childSession) *lapisv1.PeerAddress {
	return &lapisv1.PeerAddress{Node: child.node, Address: child.address, Zone: child.zone, Region: n.config.Region}
}
