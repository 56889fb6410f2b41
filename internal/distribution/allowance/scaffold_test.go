package allowance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Properties that the simulated fleet shares with a real one: a connection ends after
// simulatedSilence without a frame, and the host of a stopped process refuses connections.
const (
	simulatedTick    = 20 * time.Millisecond
	simulatedSilence = 2500 * time.Millisecond
	// directoryRetryTime is the maximum time between the end of an outage of the directory and its next
	// read by a daemon.
	directoryRetryTime = 2500 * time.Millisecond
	// maxFrameDelay is the default of simulation.maxDelay.
	maxFrameDelay = 60 * time.Millisecond
)

// simulation is a run of a simulated fleet, determined by a seed.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simulatedDaemon
	// split holds the pairs of daemons that cannot reach each other.
	split  map[[2]int]bool
	bounds Bounds
	// limits are the limits by allowance. load is the rate of calls per second over all daemons, by
	// allowance.
	limits map[string]Limit
	load   map[string]float64
	// ranAt are the times of the calls that ran within the last window, by allowance.
	ranAt                         map[string][]time.Time
	granted, refused, unreachable int
	// frames and bytes count the traffic received, by daemon.
	frames, bytes map[string]int
	grantedOf     map[string]int
	// indexes maps names of daemons to their indexes in daemons.
	indexes map[string]int
	// maxDelay is the maximum time a frame takes outside of partitions.
	maxDelay time.Duration
	// onCall is called for each call that requests credit.
	onCall func(name string)
	// lateCalls makes a part of the calls late: those made while three, seven, eleven and so on
	// calls wait.
	lateCalls bool
	// notRunShare is the fraction of the granted calls that do not run. Their credit is given back
	// after a random delay.
	notRunShare    float64
	pendingReturns []pendingReturn
	variant        variant
	overshoot      string
	// directoryDown is true during an outage of the directory. A daemon that starts meanwhile learns of
	// the others when it has ended and within directoryRetryTime.
	directoryDown bool
}

type pendingReturn struct {
	at         time.Time
	daemon     *simulatedDaemon
	generation int
	ticket     *Ticket
}

type waitingCall struct {
	ticket *Ticket
	since  time.Time
}

type simulatedDaemon struct {
	index       int
	name        string
	participant *Participant
	// generation counts the starts of the daemon's process.
	generation    int
	alive, paused bool
	learnsAt      map[string]time.Time
	outbound      map[int]*simulatedLink
	inbound       []*simulatedLink
	waiting       []waitingCall
	startsAt      time.Time
	resumesAt     time.Time
	// missedDirectory is true for a daemon that has started during an outage of the directory, until it
	// has read it.
	missedDirectory bool
}

// simulatedLink is a connection that one daemon opened to another.
type simulatedLink struct {
	client, server         *simulatedDaemon
	clientOpen, serverOpen bool
	toServer, toClient     []simulatedFrame
	// clientHeard and serverHeard are the times at which each side last received anything.
	clientHeard, serverHeard time.Time
}

type simulatedFrame struct {
	at    time.Time
	ask   *lapisv1.AllowanceAsk
	grant *lapisv1.AllowanceGrant
	end   bool
}

// variant changes the package's behavior for a test. The zero value changes nothing.
type variant struct {
	name string
	// before is called for each daemon at the start of its tick, started for each daemon that has
	// just started.
	before  func(*Participant, time.Time)
	started func(*Participant)
	// returnAfterRun also gives back the credit of calls that ran.
	returnAfterRun bool
}

func newSimulation(seed uint64, daemons int, variant variant) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), split: map[[2]int]bool{},
		bounds: Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		limits: map[string]Limit{}, load: map[string]float64{}, ranAt: map[string][]time.Time{}, variant: variant,
		frames: map[string]int{}, bytes: map[string]int{}, grantedOf: map[string]int{}, indexes: map[string]int{}, maxDelay: maxFrameDelay,
	}
	for index := range daemons {
		name := fmt.Sprintf("daemon-%d", index)
		s.daemons = append(s.daemons, &simulatedDaemon{index: index, name: name})
		s.indexes[name] = index
	}
	return s
}

// start starts the process of a daemon. It knows no other daemon at first and learns of them within
// 400 ms.
func (s *simulation) start(d *simulatedDaemon) {
	d.generation++
	d.alive, d.paused = true, false
	d.participant = NewParticipant(d.name, s.bounds, s.now)
	d.inbound = nil
	d.outbound, d.waiting, d.learnsAt = map[int]*simulatedLink{}, nil, map[string]time.Time{}
	d.missedDirectory = s.directoryDown
	for _, other := range s.daemons {
		if other == d || other.generation == 0 || s.directoryDown {
			continue
		}
		d.learnsAt[other.name] = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
		if d.generation == 1 && other.alive {
			other.learnsAt[d.name] = s.now.Add(time.Duration(s.random.IntN(400)) * time.Millisecond)
		}
	}
	if s.variant.started != nil {
		s.variant.started(d.participant)
	}
}

// endOutage ends an outage of the directory. Each daemon that missed it reads it at a time of its own.
func (s *simulation) endOutage() {
	s.directoryDown = false
	for _, d := range s.daemons {
		if !d.alive || !d.missedDirectory {
			continue
		}
		d.missedDirectory = false
		readsAt := s.now.Add(time.Duration(s.random.Int64N(int64(directoryRetryTime))))
		for _, other := range s.daemons {
			if other != d && other.generation > 0 {
				d.learnsAt[other.name] = readsAt
			}
		}
	}
}

// kill ends the process of a daemon.
func (s *simulation) kill(d *simulatedDaemon, restart time.Duration) {
	if !d.alive {
		return
	}
	d.alive = false
	d.startsAt = s.now.Add(restart)
	for _, at := range sortedKeys(d.outbound) {
		link := d.outbound[at]
		link.clientOpen = false
		link.toServer = append(link.toServer, s.frame(link.toServer, simulatedFrame{end: true}))
	}
	for _, link := range d.inbound {
		link.serverOpen = false
		link.toClient = append(link.toClient, s.frame(link.toClient, simulatedFrame{end: true}))
	}
	d.waiting = nil
}

func (s *simulation) isSplit(a, b *simulatedDaemon) bool { return s.split[[2]int{a.index, b.index}] }

func (s *simulation) setPartitioned(a, b int, partitioned bool) {
	s.split[[2]int{a, b}], s.split[[2]int{b, a}] = partitioned, partitioned
}

// frame sets the arrival time of a frame, no earlier than that of the frames before it.
func (s *simulation) frame(queue []simulatedFrame, frame simulatedFrame) simulatedFrame {
	frame.at = s.now.Add(time.Millisecond + time.Duration(s.random.Int64N(int64(s.maxDelay))))
	if len(queue) > 0 && queue[len(queue)-1].at.After(frame.at) {
		frame.at = queue[len(queue)-1].at
	}
	return frame
}

// step advances the simulation by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(simulatedTick)
	for _, d := range s.daemons {
		switch {
		case !d.alive && !d.startsAt.IsZero() && !s.now.Before(d.startsAt):
			s.start(d)
		case d.paused && !s.now.Before(d.resumesAt):
			d.paused = false
		}
	}
	for _, at := range s.random.Perm(len(s.daemons)) {
		if d := s.daemons[at]; d.alive && !d.paused {
			s.run(d)
		}
	}
	s.giveBack()
}

// run performs one tick of a daemon.
func (s *simulation) run(d *simulatedDaemon) {
	for name, at := range d.learnsAt {
		if !s.now.Before(at) {
			d.participant.Members(s.now, []string{name})
			delete(d.learnsAt, name)
		}
	}
	s.introduce(d)
	if len(d.learnsAt) == 0 && !d.missedDirectory {
		d.participant.FleetKnown(s.now)
	}
	if s.variant.before != nil {
		s.variant.before(d.participant, s.now)
	}
	s.openConnections(d)
	d.inbound = slices.DeleteFunc(d.inbound, func(link *simulatedLink) bool { return !link.serverOpen })
	for _, link := range d.inbound {
		s.receiveAsServer(link)
	}
	for _, at := range sortedKeys(d.outbound) {
		s.receiveAsClient(d.outbound[at])
	}
	s.call(d)
	s.send(d)
	s.decide(d)
}

// introduce lets a daemon that missed the directory learn of the others from one that knows them and has
// opened a connection to it.
func (s *simulation) introduce(d *simulatedDaemon) {
	introduces := func(link *simulatedLink) bool {
		return link.serverOpen && link.client.alive && link.client.participant.client.fleetKnown && !s.isSplit(link.client, d)
	}
	if !d.missedDirectory || !slices.ContainsFunc(d.inbound, introduces) {
		return
	}
	d.missedDirectory = false
	learnsAt := s.now.Add(time.Duration(s.random.Int64N(int64(time.Second))))
	for _, other := range s.daemons {
		if other != d && other.generation > 0 {
			d.learnsAt[other.name] = learnsAt
		}
	}
}

func sortedKeys(links map[int]*simulatedLink) []int {
	keys := make([]int, 0, len(links))
	for key := range links {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// openConnections opens the connections to the daemon's candidates.
func (s *simulation) openConnections(d *simulatedDaemon) {
	for _, name := range d.participant.Candidates(s.now) {
		at := s.indexes[name]
		other := s.daemons[at]
		if other == d || d.outbound[at] != nil || s.isSplit(d, other) {
			continue
		}
		switch {
		case !other.alive:
			d.participant.Lost(s.now, name, true)
		case !other.paused:
			link := &simulatedLink{client: d, server: other, clientOpen: true, serverOpen: true, clientHeard: s.now, serverHeard: s.now}
			d.outbound[at] = link
			other.inbound = append(other.inbound, link)
			other.participant.Joined(link)
			d.participant.Connected(s.now, name)
		}
	}
}

// receiveAsServer processes the frames from the daemon that opened a connection.
func (s *simulation) receiveAsServer(link *simulatedLink) {
	if !link.serverOpen {
		return
	}
	if !s.isSplit(link.client, link.server) && link.clientOpen && !link.client.paused {
		link.serverHeard = s.now
	}
	for len(link.toServer) > 0 && !s.now.Before(link.toServer[0].at) && !s.isSplit(link.client, link.server) {
		frame := link.toServer[0]
		link.toServer = link.toServer[1:]
		if frame.end {
			s.closeServer(link)
			return
		}
		s.frames[link.server.name]++
		s.bytes[link.server.name] += proto.Size(frame.ask)
		if grant := link.server.participant.ReceiveAsk(s.now, link.client.name, link, frame.ask); grant != nil {
			link.toClient = append(link.toClient, s.frame(link.toClient, simulatedFrame{grant: grant}))
		}
	}
	if s.now.Sub(link.serverHeard) >= simulatedSilence {
		s.closeServer(link)
	}
}

func (s *simulation) closeServer(link *simulatedLink) {
	link.serverOpen = false
	link.server.participant.Left(s.now, link.client.name, link)
	link.toClient = append(link.toClient, s.frame(link.toClient, simulatedFrame{end: true}))
}

// receiveAsClient processes the frames from the daemon to which a connection was opened.
func (s *simulation) receiveAsClient(link *simulatedLink) {
	if !s.isSplit(link.client, link.server) && link.serverOpen && !link.server.paused {
		link.clientHeard = s.now
	}
	for len(link.toClient) > 0 && !s.now.Before(link.toClient[0].at) && !s.isSplit(link.client, link.server) {
		frame := link.toClient[0]
		link.toClient = link.toClient[1:]
		if frame.end {
			s.closeClient(link)
			return
		}
		s.frames[link.client.name]++
		s.bytes[link.client.name] += proto.Size(frame.grant)
		link.client.participant.ReceiveGrant(s.now, link.server.name, frame.grant)
	}
	if s.now.Sub(link.clientHeard) >= simulatedSilence {
		s.closeClient(link)
	}
}

func (s *simulation) closeClient(link *simulatedLink) {
	link.clientOpen = false
	delete(link.client.outbound, link.server.index)
	link.client.participant.Lost(s.now, link.server.name, false)
	if link.serverOpen && !s.isSplit(link.client, link.server) {
		link.serverOpen = false
		link.server.participant.Left(s.now, link.client.name, link)
	}
}

// send sends the daemon's outgoing messages.
func (s *simulation) send(d *simulatedDaemon) {
	for _, message := range d.participant.Outgoing(s.now) {
		link := d.outbound[s.indexes[message.To]]
		if link == nil {
			continue
		}
		for range 1 + s.random.IntN(2) { // An ask may be duplicated.
			link.toServer = append(link.toServer, s.frame(link.toServer, simulatedFrame{ask: message.Ask}))
		}
	}
}

// call makes the calls of one tick.
func (s *simulation) call(d *simulatedDaemon) {
	for _, name := range sortedNames(s.limits) {
		calls := s.load[name] * simulatedTick.Seconds() / float64(len(s.daemons))
		count := int(calls)
		if s.random.Float64() < calls-float64(count) {
			count++
		}
		for range count {
			if s.onCall != nil {
				s.onCall(name)
			}
			d.waiting = append(d.waiting, waitingCall{d.participant.Take(s.now, name, s.limits[name], 1, s.lateCalls && len(d.waiting)%4 == 3), s.now})
		}
	}
}

func sortedNames(limits map[string]Limit) []string {
	names := make([]string, 0, len(limits))
	for name := range limits {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// decide finishes the calls whose outcome is known.
func (s *simulation) decide(d *simulatedDaemon) {
	d.waiting = slices.DeleteFunc(d.waiting, func(call waitingCall) bool {
		if s.now.Sub(call.since) >= answerTimeout {
			d.participant.GiveUp(s.now, call.ticket)
		}
		select {
		case outcome := <-call.ticket.Decided:
			s.finish(d, call.ticket, outcome)
			return true
		default:
			return false
		}
	})
}

func (s *simulation) finish(d *simulatedDaemon, ticket *Ticket, outcome Outcome) {
	switch {
	case outcome.Unreachable:
		s.unreachable++
	case !outcome.Granted:
		s.refused++
	case s.random.Float64() < s.notRunShare:
		after := time.Duration(s.random.Int64N(int64(3 * time.Second)))
		s.pendingReturns = append(s.pendingReturns, pendingReturn{at: s.now.Add(after), daemon: d, generation: d.generation, ticket: ticket})
	default:
		s.granted++
		s.grantedOf[ticket.allowance]++
		s.recordCall(ticket.allowance)
		if s.variant.returnAfterRun {
			d.participant.GiveBack(s.now, ticket)
		}
	}
}

// giveBack returns the credit of calls that did not run.
func (s *simulation) giveBack() {
	s.pendingReturns = slices.DeleteFunc(s.pendingReturns, func(back pendingReturn) bool {
		if s.now.Before(back.at) {
			return false
		}
		if back.daemon.alive && back.daemon.generation == back.generation && !back.daemon.paused {
			back.daemon.participant.GiveBack(s.now, back.ticket)
		}
		return true
	})
}

// recordCall records a call that ran, and the first violation of a bound.
func (s *simulation) recordCall(name string) {
	times := append(s.ranAt[name], s.now)
	for len(times) > 0 && s.now.Sub(times[0]) > s.bounds.Window {
		times = times[1:]
	}
	s.ranAt[name] = times
	if maxAllowed := s.bounds.maxCalls(s.limits[name]); float64(len(times)) > maxAllowed && s.overshoot == "" {
		s.overshoot = fmt.Sprintf("%s: %d calls in a window that allows %.1f, at %v", name, len(times), maxAllowed, s.now.Sub(time.Unix(1000, 0)))
	}
}
