package fleet

import (
	"cmp"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// RolloutObserver receives what other daemons say of roll-outs. Its methods are called without a
// lock held.
type RolloutObserver interface {
	// Word brings what another daemon tells of itself.
	Word(word *lapisv1.RolloutWord)
	// Report brings what another daemon has seen.
	Report(report *lapisv1.RolloutReport)
	// Unlinked says that the last link with a daemon ended.
	Unlinked(node string)
}

// Ranking orders daemons by their names; the lowest number goes first.
type Ranking func(node string) uint64

// pendingRollouts is what waits to be sent of roll-outs on one link: of each service the newest
// word and report. Fleet.mutex protects its maps.
type pendingRollouts struct {
	words   map[string]*lapisv1.RolloutWord
	reports map[string]*lapisv1.RolloutReport
	// wake asks for them to be sent.
	wake chan struct{}
}

func newPendingRollouts() pendingRollouts {
	return pendingRollouts{words: map[string]*lapisv1.RolloutWord{}, reports: map[string]*lapisv1.RolloutReport{}, wake: make(chan struct{}, 1)}
}

// clear drops what was for an earlier link; Fleet.mutex is held.
func (p *pendingRollouts) clear() {
	clear(p.words)
	clear(p.reports)
}

// takeRollouts returns the frames that wait.
func (f *Fleet) takeRollouts(pending *pendingRollouts) []*lapisv1.CallFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var frames []*lapisv1.CallFrame
	for _, word := range pending.words {
		frames = append(frames, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_RolloutWord{RolloutWord: word}})
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

// pendingByNode returns what waits on one link with each daemon in touch; the caller holds mutex.
func (f *Fleet) pendingByNode() map[string]*pendingRollouts {
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

// SpreadWord tells a word to daemons in touch, to all of them where nodes is nil. It does not wait.
func (f *Fleet) SpreadWord(word *lapisv1.RolloutWord, nodes []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for node, pending := range f.pendingByNode() {
		if nodes == nil || slices.Contains(nodes, node) {
			pending.words[word.GetService()] = word
			signal(pending.wake)
		}
	}
}

// TellReport tells a report to one daemon, if it is in touch. It does not wait.
func (f *Fleet) TellReport(node string, report *lapisv1.RolloutReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if pending := f.pendingByNode()[node]; pending != nil {
		pending.reports[report.GetService()] = report
		signal(pending.wake)
	}
}

// InTouch returns the names of the daemons that a link is open with, and this one's.
func (f *Fleet) InTouch() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := []string{f.config.Self.Node}
	for node := range f.pendingByNode() {
		names = append(names, node)
	}
	return names
}

// Running returns the number of daemons that may be running, this one included: all that are known
// but those at whose address another one was found. A daemon that is out of reach counts.
func (f *Fleet) Running() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	running := 1
	now := boottime.Now()
	for _, peer := range f.peers {
		if !peer.displaced(now) {
			running++
		}
	}
	return running
}

// Serving returns the number of daemons known on whose machine a service runs.
func (f *Fleet) Serving(service string) int {
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

// LinkToFirst makes this daemon keep a link to the reachable daemons that rank first, count of each
// ranking, and to those named also, beside those that its calls need. Each daemon that ranks first is
// then in touch with all.
func (f *Fleet) LinkToFirst(rankings []Ranking, count int, also []string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rankings, f.firstRanked, f.alsoLinked = rankings, count, also
	signal(f.reviewLinks)
}

// addFirstRanked adds the daemons of LinkToFirst to those that are linked to. Of daemons that are not
// reachable, those that rank before the last one are added beside them. The caller holds mutex.
func (f *Fleet) addFirstRanked(chosen map[string]bool, candidates []candidate) {
	if len(f.rankings) == 0 {
		return
	}
	for _, member := range candidates {
		if slices.Contains(f.alsoLinked, member.Node) {
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
			if reachable >= f.firstRanked {
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

// unlinked tells the observer when the last link with a daemon has ended.
func (f *Fleet) unlinked(node string) {
	if f.config.Rollouts == nil {
		return
	}
	f.mutex.Lock()
	linked := f.pendingByNode()[node] != nil
	f.mutex.Unlock()
	if !linked {
		f.config.Rollouts.Unlinked(node)
	}
}

// receiveRollout passes on what a daemon says of roll-outs. It may speak only for itself.
func (f *Fleet) receiveRollout(from string, frame *lapisv1.CallFrame) {
	if f.config.Rollouts == nil {
		return
	}
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_RolloutWord:
		if body.RolloutWord.GetNode() == from {
			f.config.Rollouts.Word(body.RolloutWord)
		}
	case *lapisv1.CallFrame_RolloutReport:
		if body.RolloutReport.GetNode() == from {
			f.config.Rollouts.Report(body.RolloutReport)
		}
	}
}
