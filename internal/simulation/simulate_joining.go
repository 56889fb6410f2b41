package simulation

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/joining"
	"github.com/lapisvane/lapisvane/internal/membership"
	"github.com/lapisvane/lapisvane/internal/seat"
	"github.com/lapisvane/lapisvane/internal/topology"
)

// boot starts a process on a node that knows only random neighbours.
func (s *simulation) boot(node *simNode) {
	var seeds []string
	neighbours := s.byZone[node.place.Zone]
	for range 3 {
		seeds = append(seeds, neighbours[s.random.IntN(len(neighbours))].Node)
	}
	node.up = true
	node.epoch++
	node.candidates = membership.NewCandidates(node.place.Node, node.place.Zone, node.place.Region, seeds, s.random)
	node.seats = seat.NewTable(s.tunables.SeatLease.Get())
	node.expected = map[*simNode]uint32{}
	node.rounds, node.reader = 0, ""
	s.search(node)
}

// search makes a node look for a parent.
func (s *simulation) search(node *simNode) {
	node.parent = nil
	node.backoff = s.tunables.JoinBackoffMin.Get()
	node.nextAsk = s.now + time.Duration(s.random.Int64N(int64(s.tunables.FirstSourceAsk.Get())))
	if !node.waiting {
		node.waiting = true
		s.waiting++
	}
	s.try(node, node.epoch)
}

// try lets a node try the next candidate, or ask the source.
func (s *simulation) try(node *simNode, epoch int) {
	if !node.up || node.epoch != epoch || node.parent != nil || node.reader != "" {
		return
	}
	choice, ok := node.candidates.Next(s.clock())
	if ok {
		s.ask(node, choice, epoch)
		return
	}
	pause := 25*time.Millisecond + time.Duration(s.random.Int64N(int64(50*time.Millisecond)))
	s.after(pause, func() {
		if s.now < node.nextAsk {
			s.try(node, epoch)
			return
		}
		s.askSource(node, epoch)
	})
}

// ask carries a hello to a candidate and its verdict back: one round trip to
// connect, one for the hello.
func (s *simulation) ask(node *simNode, choice membership.Choice, epoch int) {
	target := s.machines[choice.Address]
	oneWay := s.topology.Delay(node.place, target.place)
	s.after(3*oneWay+s.work(s.command.FrameCost), func() {
		if !node.up || node.epoch != epoch {
			return
		}
		if !target.up {
			node.candidates.Failed(choice.Address, s.clock())
			s.try(node, epoch)
			return
		}
		s.countJoin(target)
		verdict := joining.Decide(s.asParent(target), joining.Candidate{
			Node: node.place.Node, Zone: node.place.Zone, Depth: depthBelow(node), Redirected: choice.Redirected,
			Refusals: int(node.candidates.Refusals()),
		})
		if verdict == joining.Accept {
			// The parent counts the child from its decision on.
			node.parent = target
			target.children = append(target.children, node)
		}
		s.after(oneWay, func() { s.answered(node, target, choice, verdict, epoch) })
	})
}

func (s *simulation) countJoin(target *simNode) {
	if s.now-target.joinsFrom >= time.Second {
		target.joins, target.joinsFrom = 0, s.now
	}
	target.joins++
	s.peakJoins = max(s.peakJoins, target.joins)
}

func (s *simulation) answered(node, target *simNode, choice membership.Choice, verdict joining.Verdict, epoch int) {
	if !node.up || node.epoch != epoch {
		return
	}
	now := s.clock()
	switch verdict {
	case joining.Accept:
		if node.parent != target {
			// The parent died meanwhile and its children search already.
			return
		}
		node.candidates.Succeeded(choice.Address)
		s.settled(node)
		return
	case joining.Detached:
		node.candidates.Detached()
	case joining.TooDeep:
		s.shedDeepChildren(node)
		node.candidates.Redirect(s.readersOf(target.place.Zone), now)
	case joining.ReadersFirst, joining.ToAReader:
		node.candidates.Redirect(s.readersOf(target.place.Zone), now)
	default:
		node.candidates.Redirect(s.redirects(target, node), now)
	}
	retry := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(300*time.Millisecond)))
	node.candidates.Postponed(choice.Address, retry, now)
	s.try(node, epoch)
}

// shedDeepChildren makes the children that have children of their own search
// anew, as a daemon does that was refused for depth.
func (s *simulation) shedDeepChildren(node *simNode) {
	for _, child := range append([]*simNode(nil), node.children...) {
		if len(child.children) > 0 {
			s.leave(child)
			s.search(child)
		}
	}
}

func (s *simulation) redirects(parent, joiner *simNode) []*lapisv1.PeerAddress {
	children := make([]joining.Child, 0, len(parent.children))
	for _, child := range parent.children {
		children = append(children, joining.Child{
			Node: child.place.Node, Zone: child.place.Zone, Expected: max(parent.expected[child], 1),
		})
	}
	var peers []*lapisv1.PeerAddress
	for position, index := range joining.Redirects(children, joiner.place.Zone, joiner.place.Node, 4) {
		child := parent.children[index]
		if position == 0 {
			parent.expected[child] = max(parent.expected[child], 1) + 1
		}
		peers = append(peers, peerOf(child))
	}
	return peers
}

func peerOf(node *simNode) *lapisv1.PeerAddress {
	return &lapisv1.PeerAddress{Node: node.place.Node, Address: node.place.Node, Zone: node.place.Zone, Region: node.place.Region}
}

func (s *simulation) readersOf(zone string) []*lapisv1.PeerAddress {
	var peers []*lapisv1.PeerAddress
	for number := range s.tunables.SeatsPerZone {
		if held := s.seats[seat.Key(zone, number)]; held.holder != nil && held.holder.up {
			peers = append(peers, peerOf(held.holder))
		}
	}
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

func (s *simulation) asParent(node *simNode) joining.Parent {
	return joining.Parent{
		Node: node.place.Node, Zone: node.place.Zone, Reader: node.reader != "", Path: pathOf(node),
		Children: len(node.children), KnowsReaders: len(s.readersOf(node.place.Zone)) > 0,
		Fanout: s.tunables.Fanout, MaxDepth: s.tunables.MaxDepth,
	}
}

// pathOf returns the way from the root, nil when there is none.
func pathOf(node *simNode) []string {
	var path []string
	for at := node; at != nil; at = at.parent {
		path = append([]string{at.place.Node}, path...)
		if at.reader != "" {
			return path
		}
	}
	return nil
}

func depthBelow(node *simNode) int {
	deepest := 0
	for _, child := range node.children {
		deepest = max(deepest, depthBelow(child)+1)
	}
	return deepest
}

// askSource asks the source who holds the zone's seats, and takes a vacant one
// when the node ranks high enough.
func (s *simulation) askSource(node *simNode, epoch int) {
	s.sourceAsks++
	s.asksBySecond[s.now/time.Second]++
	node.rounds++
	node.backoff = min(2*node.backoff, s.tunables.JoinBackoffMax.Get())
	node.nextAsk = s.now + node.backoff/2 + time.Duration(s.random.Int64N(int64(node.backoff)))
	oneWay := s.topology.Delay(node.place, s.nodes[0].place)
	s.after(oneWay, func() {
		s.observeSeats(node)
		vacancies := node.seats.Vacancies(node.place.Zone, node.place.Node, s.tunables.SeatsPerZone, s.clock())
		for _, vacancy := range vacancies {
			rank, _ := membership.Rank(s.byZone[node.place.Zone], node.place.Node, vacancy.Seat)
			if membership.MayTakeSeat(rank, node.rounds) && s.take(node, vacancy, epoch) {
				return
			}
		}
		s.after(oneWay, func() { s.try(node, epoch) })
	})
}

func (s *simulation) observeSeats(node *simNode) {
	var holders []*lapisv1.PeerAddress
	for number := range s.tunables.SeatsPerZone {
		key := seat.Key(node.place.Zone, number)
		held, known := s.seats[key]
		if !known {
			continue
		}
		if held.holder.up && held.holder.reader == key {
			// A live holder renews; its version grows with time.
			held.version += int64((s.now - held.renewed) / (2 * time.Second))
			holders = append(holders, peerOf(held.holder))
		}
		lease := &lapisv1.SeatLease{Holder: held.holder.place.Node, Address: held.holder.place.Node, Zone: node.place.Zone}
		node.seats.Observe(topology.SeatObject(key, held.version, lease), s.clock())
	}
	node.candidates.Redirect(holders, s.clock())
}

// take gives a seat to a node unless another took it meanwhile.
func (s *simulation) take(node *simNode, vacancy seat.Vacancy, epoch int) bool {
	held := s.seats[vacancy.Seat]
	if !node.up || node.epoch != epoch || (held.holder != nil && held.holder.up && held.holder.reader == vacancy.Seat) {
		return false
	}
	s.seats[vacancy.Seat] = simSeat{holder: node, version: held.version + 1, renewed: s.now}
	if node.parent != nil {
		s.leave(node)
	}
	s.settled(node)
	node.reader = vacancy.Seat
	s.offerLater(node, epoch)
	return true
}

// settled notes that a node has a parent or a seat.
func (s *simulation) settled(node *simNode) {
	if node.waiting {
		node.waiting = false
		s.waiting--
	}
}

// leave takes a node from its parent's children.
func (s *simulation) leave(node *simNode) {
	parent := node.parent
	for index, child := range parent.children {
		if child == node {
			parent.children = append(parent.children[:index:index], parent.children[index+1:]...)
			break
		}
	}
	node.parent = nil
}

// offerLater lets a reader offer vacant seats of its zone now and then.
func (s *simulation) offerLater(reader *simNode, epoch int) {
	s.after(time.Second, func() {
		if !reader.up || reader.epoch != epoch || reader.reader == "" {
			return
		}
		s.offer(reader)
		s.offerLater(reader, epoch)
	})
}

func (s *simulation) offer(reader *simNode) {
	for number := range s.tunables.SeatsPerZone {
		key := seat.Key(reader.place.Zone, number)
		held := s.seats[key]
		lapsed := held.holder == nil || (!held.holder.up || held.holder.reader != key) && s.now-held.renewed > s.tunables.SeatLease.Get()
		if !lapsed || len(reader.children) == 0 {
			continue
		}
		best := reader.children[0]
		for _, child := range reader.children {
			if sizeOf(child) > sizeOf(best) {
				best = child
			}
		}
		s.take(best, seat.Vacancy{Seat: key}, best.epoch)
	}
}

func sizeOf(node *simNode) int {
	size := 1
	for _, child := range node.children {
		size += sizeOf(child)
	}
	return size
}

// joinAll boots the nodes at once and returns the time until the last has a
// parent or a seat.
func (s *simulation) joinAll(nodes []*simNode) time.Duration {
	started := s.now
	for _, node := range nodes {
		s.boot(node)
	}
	last := started
	const limit = 2 * time.Minute
	for s.waiting > 0 && s.now < started+limit && s.step() {
		last = s.now
	}
	// What is left, such as offers of second seats, happens in the next seconds.
	for deadline := s.now + 10*time.Second; s.queue.Len() > 0 && s.queue[0].at < deadline; {
		s.step()
	}
	return last - started
}

// herd restarts a part of all nodes at once and returns the time until all have
// a parent again.
func (s *simulation) herd(part float64) time.Duration {
	s.sourceAsks, s.peakJoins = 0, 0
	s.asksBySecond = map[time.Duration]int{}
	var chosen []*simNode
	var orphans []*simNode
	for _, index := range s.random.Perm(len(s.nodes))[:int(part*float64(len(s.nodes)))] {
		chosen = append(chosen, s.nodes[index])
	}
	down := map[*simNode]bool{}
	for _, node := range chosen {
		down[node] = true
	}
	for _, node := range chosen {
		if node.parent != nil {
			s.leave(node)
		}
		for _, child := range node.children {
			child.parent = nil
			if !down[child] {
				orphans = append(orphans, child)
			}
		}
		node.children = nil
	}
	for _, orphan := range orphans {
		s.search(orphan)
	}
	return s.joinAll(chosen)
}
