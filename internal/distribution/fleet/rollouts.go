package fleet

import (
	"cmp"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// RolloutObserver receives the rollout messages of other daemons. Its methods are called without
// locks held.
type RolloutObserver interface {
	// ReceiveAnnouncement passes what another daemon announces about itself.
	ReceiveAnnouncement(announcement *lapisv1.RolloutWord)
	// ReceiveReport passes what another daemon observed.
	ReceiveReport(report *lapisv1.RolloutReport)
	// NodeUnlinked reports that the last link with a daemon ended.
	NodeUnlinked(node string)
}

// Ranking maps names of daemons to ranks. The lowest number ranks first.
type Ranking func(node string) uint64

// pendingRollouts holds the rollout messages to be sent on one link: the newest announcement and
// report of each service. Fleet.mutex protects its maps.
type pendingRollouts struct {
	announcements map[string]*lapisv1.RolloutWord
	reports       map[string]*lapisv1.RolloutReport
	// wake requests that the queued messages be sent.
	wake chan struct{}
}

func newPendingRollouts() pendingRollouts {
	return pendingRollouts{announcements: map[string]*lapisv1.RolloutWord{}, reports: map[string]*lapisv1.RolloutReport{}, wake: make(chan struct{}, 1)}
}

// clear drops the messages queued for an earlier link; Fleet.mutex is held.
func (p *pendingRollouts) clear() {
	clear(p.announcements)
	clear(p.reports)
}

// takeRollouts removes and returns the queued frames.
func (f *Fleet) takeRollouts(pending *pendingRollouts) []*lapisv1.CallFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var frames []*lapisv1.CallFrame
	for _, announcement := range pending.announcements {
		frames = append(frames, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_RolloutWord{RolloutWord: announcement}})
	}
	for _, report := range pending.reports {
		frames = append(frames, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_RolloutReport{RolloutReport: report}})
	}
	pending.clear()
	return frames
}

func (f *Fleet) sendRollouts(link callmux.Link, pending *pendingRollouts) {
	for _, frame := range f.takeRollouts(pending) {
		f.send(link, frame)
	}
}

// pendingRolloutsByNode returns the queue of one link for each linked daemon; the caller holds
// mutex.
func (f *Fleet) pendingRolloutsByNode() map[string]*pendingRollouts {
	pending := make(map[string]*pendingRollouts, len(f.inbound))
	for inbound := range f.inbound {
		pending[inbound.node] = &inbound.pendingRollouts
	}
	for node, peer := range f.peers {
		if peer.connected {
			pending[node] = &peer.pendingRollouts
		}
	}
	return pending
}

// BroadcastAnnouncement queues an announcement for the linked daemons among nodes, or for all
// linked daemons if nodes is nil. It does not block.
func (f *Fleet) BroadcastAnnouncement(announcement *lapisv1.RolloutWord, nodes []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for node, pending := range f.pendingRolloutsByNode() {
		if nodes == nil || slices.Contains(nodes, node) {
			pending.announcements[announcement.GetService()] = announcement
			signal(pending.wake)
		}
	}
}

// SendReport queues a report for one daemon if it is linked. It does not block.
func (f *Fleet) SendReport(node string, report *lapisv1.RolloutReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if pending := f.pendingRolloutsByNode()[node]; pending != nil {
		pending.reports[report.GetService()] = report
		signal(pending.wake)
	}
}

// LinkedNodes returns the names of the linked daemons and of this one.
func (f *Fleet) LinkedNodes() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := []string{f.config.Self.Node}
	for node := range f.pendingRolloutsByNode() {
		names = append(names, node)
	}
	return names
}

// ActiveMembers returns the number of daemons that may be running, including this one: all known
// daemons that are not displaced. Unreachable daemons count.
func (f *Fleet) ActiveMembers() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	running := 1
	now := boottime.Now()
	for _, peer := range f.peers {
		if !peer.isDisplaced(now) {
			running++
		}
	}
	return running
}

// MembersOfService returns the number of known daemons, including this one, on whose machine a
// service runs.
func (f *Fleet) MembersOfService(service string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	serving := 0
	if f.config.Self.Service == service {
		serving++
	}
	for _, peer := range f.peers {
		if peer.Service == service {
			serving++
		}
	}
	return serving
}

// SetRankedLinks sets further daemons to link to, besides those needed for calls: the first count
// reachable daemons of each ranking, and additionalNodes. If all daemons do so, the daemons that
// rank first are linked to the whole fleet.
func (f *Fleet) SetRankedLinks(rankings []Ranking, count int, additionalNodes []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rankings, f.linksPerRanking, f.additionalNodes = rankings, count, additionalNodes
	signal(f.reviewLinks)
}

// addFirstRanked adds the daemons set by SetRankedLinks to those chosen. Unreachable daemons that
// rank before the last reachable one are added as well. The caller holds mutex.
func (f *Fleet) addFirstRanked(chosen map[string]bool, candidates []candidate) {
	if len(f.rankings) == 0 {
		return
	}
	for _, member := range candidates {
		if slices.Contains(f.additionalNodes, member.Node) {
			chosen[member.Node] = true
		}
	}
	ranked := append(slices.Clone(candidates), candidate{Member: f.config.Self})
	for _, ranking := range f.rankings {
		slices.SortFunc(ranked, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(ranking(a.Node), ranking(b.Node)), cmp.Compare(a.Node, b.Node))
		})
		reachable := 0
		for _, member := range ranked {
			if reachable >= f.linksPerRanking {
				break
			}
			if member.Node != f.config.Self.Node {
				chosen[member.Node] = true
			}
			if !member.unreachable {
				reachable++
			}
		}
	}
}

// notifyUnlinked notifies the observer if no link with a daemon is left.
func (f *Fleet) notifyUnlinked(node string) {
	if f.config.Rollouts == nil {
		return
	}
	f.mutex.Lock()
	linked := f.pendingRolloutsByNode()[node] != nil
	f.mutex.Unlock()
	if !linked {
		f.config.Rollouts.NodeUnlinked(node)
	}
}

// receiveRollout passes a rollout message to the observer. It drops messages about a daemon other
// than the sender.
func (f *Fleet) receiveRollout(sender string, frame *lapisv1.CallFrame) {
	if f.config.Rollouts == nil {
		return
	}
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_RolloutWord:
		if body.RolloutWord.GetNode() == sender {
			f.config.Rollouts.ReceiveAnnouncement(body.RolloutWord)
		}
	case *lapisv1.CallFrame_RolloutReport:
		if body.RolloutReport.GetNode() == sender {
			f.config.Rollouts.ReceiveReport(body.RolloutReport)
		}
	}
}
