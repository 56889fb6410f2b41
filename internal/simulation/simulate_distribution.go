package simulation

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lapisvane/lapisvane/internal/callload"
)

// work returns how long a piece of processor work takes from now on, with the
// wait for a shared processor.
func (s *simulation) work(cost time.Duration) time.Duration { return s.workAt(s.now, cost) - s.now }

// workAt returns when work that can begin at a time is done.
func (s *simulation) workAt(begin, cost time.Duration) time.Duration {
	if len(s.free) == 0 {
		return begin + cost
	}
	earliest := 0
	for index := range s.free {
		if s.free[index] < s.free[earliest] {
			earliest = index
		}
	}
	done := max(begin, s.free[earliest]) + cost
	s.free[earliest] = done
	return done
}

// distribute follows changes from the source to every node and returns the
// times from acceptance to force in microseconds.
func (s *simulation) distribute(changes int) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, callload.MaxLatencyMicros, 3)
	for range changes {
		s.now += time.Minute
		s.queue = nil
		accepted := s.now
		sent := s.now
		for _, node := range s.nodes {
			if node.reader == "" {
				continue
			}
			sent += s.command.SourceDelay
			arrival := sent + s.topology.Delay(s.nodes[0].place, node.place)
			s.deliver(node, arrival+s.tunables.DebounceQuiet.Get(), accepted, histogram)
		}
		for s.step() {
		}
	}
	return histogram
}

// deliver puts a version in force on a node that receives it at a time, and
// sends it on to its children one after the other.
func (s *simulation) deliver(node *simNode, at, accepted time.Duration, histogram *hdrhistogram.Histogram) {
	s.order++
	heap.Push(&s.queue, event{at: at, order: s.order, action: func() {
		inForce := s.workAt(s.now, s.command.FrameCost+s.command.ApplyCost)
		_ = histogram.RecordValue((inForce - accepted).Microseconds())
		sent := inForce
		for _, index := range s.random.Perm(len(node.children)) {
			child := node.children[index]
			sent = s.workAt(sent, s.command.FrameCost)
			s.deliver(child, sent+s.topology.Delay(node.place, child.place), accepted, histogram)
		}
	}})
}
