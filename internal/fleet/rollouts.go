package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callmux"
)

// reachAllMost is the number of other daemons up to which each connects to all: the
// largest site of the users' sheets has 83 machines. Beyond it roll-outs wait, since none
// of the daemons is in touch with most of the others.
const reachAllMost = 256

// RolloutObserver hears what other daemons say of roll-outs. Its methods are called
// without a lock held.
type RolloutObserver interface {
	// Word brings what another daemon tells all.
	Word(word *lapisv1.RolloutWord)
	// Report brings what another daemon has seen.
	Report(report *lapisv1.RolloutReport)
	// Unlinked says that the last connection with a daemon ended.
	Unlinked(node string)
}

// outbox holds what waits to be sent of roll-outs on one connection: of each service the
// newest word and report. Fleet.mutex protects its maps.
type outbox struct {
	words   map[string]*lapisv1.RolloutWord
	reports map[string]*lapisv1.RolloutReport
	// filled wakes whoever sends.
	filled chan struct{}
}

func newOutbox() outbox {
	return outbox{words: map[string]*lapisv1.RolloutWord{}, reports: map[string]*lapisv1.RolloutReport{}, filled: make(chan struct{}, 1)}
}

// empty drops what was for an earlier connection; Fleet.mutex is held.
func (o *outbox) empty() {
	clear(o.words)
	clear(o.reports)
}

// take returns the frames that wait.
func (f *Fleet) take(box *outbox) []*lapisv1.CallFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var frames []*lapisv1.CallFrame
	for _, word := range box.words {
		frames = append(frames, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_RolloutWord{RolloutWord: word}})
	}
	for _, report := range box.reports {
		frames = append(frames, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_RolloutReport{RolloutReport: report}})
	}
	box.empty()
	return frames
}

// sendOutbox sends what waits on a connection.
func (f *Fleet) sendOutbox(link callmux.Link, box *outbox) {
	for _, frame := range f.take(box) {
		// A session that is over says so itself.
		_ = link.Send(frame)
	}
}

// outboxes returns one of each daemon in touch, by its name; the caller holds mutex.
func (f *Fleet) outboxes() map[string]*outbox {
	boxes := make(map[string]*outbox, len(f.members))
	for opened := range f.listeners {
		boxes[opened.node] = &opened.outbox
	}
	for node, member := range f.members {
		if member.connected {
			boxes[node] = &member.outbox
		}
	}
	return boxes
}

// SpreadWord tells a word to all daemons in touch. It does not block.
func (f *Fleet) SpreadWord(word *lapisv1.RolloutWord) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, box := range f.outboxes() {
		box.words[word.GetService()] = word
		signal(box.filled)
	}
}

// TellReport tells a report to one daemon, if it is in touch. It does not block.
func (f *Fleet) TellReport(node string, report *lapisv1.RolloutReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if box := f.outboxes()[node]; box != nil {
		box.reports[report.GetService()] = report
		signal(box.filled)
	}
}

// InTouch returns the names of the daemons that a connection is open with, and this one's.
func (f *Fleet) InTouch() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	names := []string{f.config.Self.Node}
	for node := range f.outboxes() {
		names = append(names, node)
	}
	return names
}

// Running returns the number of daemons that may be running, this one included: those in
// touch, and those that were or might have been lately.
func (f *Fleet) Running() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	boxes := f.outboxes()
	running := 1 + len(boxes)
	for node, member := range f.members {
		if boxes[node] == nil && f.mayRun(member, time.Now()) {
			running++
		}
	}
	return running
}

// mayRun reports whether a daemon that is not in touch may be running all the same: it
// was in touch lately, or has not been tried for long; the caller holds mutex.
func (f *Fleet) mayRun(member *peer, now time.Time) bool {
	missing := now.Sub(member.lostAt)
	if f.reachesAll {
		missing = min(missing, now.Sub(f.reachedAllSince))
	}
	return missing < forgetAfter && !member.displaced(now)
}

// ReachAll makes this daemon connect to all others, or again just to those that its calls
// need. Daemons hear each other of a roll-out only directly, and all instances must be
// known to tell which version is in force.
func (f *Fleet) ReachAll(all bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.reachesAll == all {
		return
	}
	f.reachesAll = all
	f.reachedAllSince = time.Now()
	f.config.Logger.Info("fleet.reach_all", "all", all, "members", len(f.members))
	signal(f.review)
}

// reachEvery reports whether every daemon is to be connected to; the caller holds mutex.
func (f *Fleet) reachEvery() bool { return f.reachesAll && len(f.members) <= reachAllMost }

// unlinked tells that the last connection with a daemon ended.
func (f *Fleet) unlinked(node string) {
	if f.config.Rollouts == nil {
		return
	}
	f.mutex.Lock()
	linked := f.outboxes()[node] != nil
	f.mutex.Unlock()
	if !linked {
		f.config.Rollouts.Unlinked(node)
	}
}

// receiveRollout takes in what a daemon says of roll-outs; others' words are not its to
// tell.
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
