package allowance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// What the simulated fleet does as the real one: connections that are silent for silence end, and
// machines refuse connections for processes that are gone.
const (
	simulatedTick    = 20 * time.Millisecond
	simulatedSilence = 2500 * time.Millisecond
	// longestDelay bounds how long a frame takes where nothing is cut.
	longestDelay = 60 * time.Millisecond
)

// play is one simulated time of a fleet, drawn from a seed.
type play struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simulatedDaemon
	// cut are the pairs that do not reach one another.
	cut    map[[2]int]bool
	bounds Bounds
	// limits are those of the allowances by name, load the asks a second of all daemons.
	limits map[string]Limit
	load   map[string]float64
	// ran are the times at which calls ran, by allowance.
	ran                           map[string][]time.Time
	granted, refused, unreachable int
	// frames and bytes count what was received, by daemon.
	frames, bytes map[string]int
	grantedOf     map[string]int
	// indexes are the places of the daemons by name.
	indexes map[string]int
	// delay is how long a frame takes at most where nothing is cut.
	delay time.Duration
	// asked is called with each call that wants credit.
	asked func(name string)
	// lateCalls has every fourth call that waits be late.
	lateCalls bool
	// notRunShare of the calls that may go do not run, and are given back after a while.
	notRunShare float64
	backs       []pendingReturn
	variant     variant
	overshoot   string
}

type pendingReturn struct {
	at     time.Time
	daemon *simulatedDaemon
	life   int
	ticket *Ticket
}

type waitingCall struct {
	ticket *Ticket
	since  time.Time
}

type simulatedDaemon struct {
	index int
	name  string
	part  *Part
	// life counts the starts of its process.
	life          int
	alive, frozen bool
	knows         map[string]time.Time
	outbound      map[int]*simulatedLink
	inbound       []*simulatedLink
	waiting       []waitingCall
	startsAt      time.Time
	thawsAt       time.Time
}

// simulatedLink is a connection that one daemon opened to another.
type simulatedLink struct {
	client, server         *simulatedDaemon
	clientOpen, serverOpen bool
	toServer, toClient     []simulatedFrame
	// clientHeard and serverHeard are when each side last heard the other.
	clientHeard, serverHeard time.Time
}

type simulatedFrame struct {
	at    time.Time
	ask   *lapisv1.AllowanceAsk
	grant *lapisv1.AllowanceGrant
	end   bool
}

// variant breaks a rule of the package; the zero one breaks none.
type variant struct {
	name string
	// before is called with each daemon before it does anything in a tick, started with one that
	// has just started.
	before  func(*Part, time.Time)
	started func(*Part)
	// returnRan gives back credit of calls that ran.
	returnRan bool
}

func newPlay(seed uint64, daemons int, variant variant) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), cut: map[[2]int]bool{},
		bounds: Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		limits: map[string]Limit{}, load: map[string]float64{}, ran: map[string][]time.Time{}, variant: variant,
		frames: map[string]int{}, bytes: map[string]int{}, grantedOf: map[string]int{}, indexes: map[string]int{}, delay: longestDelay,
	}
	for index := range daemons {
		name := fmt.Sprintf("daemon-%d", index)
		p.daemons = append(p.daemons, &simulatedDaemon{index: index, name: name})
		p.indexes[name] = index
	}
	return p
}

// start starts a daemon's process, which knows nothing but learns of the others soon.
func (p *play) start(d *simulatedDaemon) {
	d.life++
	d.alive, d.frozen = true, false
	d.part = NewPart(d.name, p.bounds, p.now)
	d.inbound = nil
	d.outbound, d.waiting, d.knows = map[int]*simulatedLink{}, nil, map[string]time.Time{}
	for _, other := range p.daemons {
		if other == d || other.life == 0 {
			continue
		}
		d.knows[other.name] = p.now.Add(time.Duration(p.random.IntN(400)) * time.Millisecond)
		if d.life == 1 && other.alive {
			other.knows[d.name] = p.now.Add(time.Duration(p.random.IntN(400)) * time.Millisecond)
		}
	}
	if p.variant.started != nil {
		p.variant.started(d.part)
	}
}

// kill ends a daemon's process.
func (p *play) kill(d *simulatedDaemon, restart time.Duration) {
	if !d.alive {
		return
	}
	d.alive = false
	d.startsAt = p.now.Add(restart)
	for _, at := range sortedKeys(d.outbound) {
		link := d.outbound[at]
		link.clientOpen = false
		link.toServer = append(link.toServer, p.frame(link.toServer, simulatedFrame{end: true}))
	}
	for _, link := range d.inbound {
		link.serverOpen = false
		link.toClient = append(link.toClient, p.frame(link.toClient, simulatedFrame{end: true}))
	}
	d.waiting = nil
}

func (p *play) isCut(a, b *simulatedDaemon) bool { return p.cut[[2]int{a.index, b.index}] }

func (p *play) setCut(a, b int, cut bool) {
	p.cut[[2]int{a, b}], p.cut[[2]int{b, a}] = cut, cut
}

// frame gives a frame its time of arrival, after those before it.
func (p *play) frame(queue []simulatedFrame, frame simulatedFrame) simulatedFrame {
	frame.at = p.now.Add(time.Millisecond + time.Duration(p.random.Int64N(int64(p.delay))))
	if len(queue) > 0 && queue[len(queue)-1].at.After(frame.at) {
		frame.at = queue[len(queue)-1].at
	}
	return frame
}

// step lets a tick pass.
func (p *play) step() {
	p.now = p.now.Add(simulatedTick)
	for _, d := range p.daemons {
		switch {
		case !d.alive && !d.startsAt.IsZero() && !p.now.Before(d.startsAt):
			p.start(d)
		case d.frozen && !p.now.Before(d.thawsAt):
			d.frozen = false
		}
	}
	for _, at := range p.random.Perm(len(p.daemons)) {
		if d := p.daemons[at]; d.alive && !d.frozen {
			p.run(d)
		}
	}
	p.giveBack()
}

// run lets a daemon do what is due.
func (p *play) run(d *simulatedDaemon) {
	for name, at := range d.knows {
		if !p.now.Before(at) {
			d.part.Members(p.now, []string{name})
			delete(d.knows, name)
		}
	}
	if p.variant.before != nil {
		p.variant.before(d.part, p.now)
	}
	p.maintain(d)
	d.inbound = slices.DeleteFunc(d.inbound, func(link *simulatedLink) bool { return !link.serverOpen })
	for _, link := range d.inbound {
		p.receiveAsServer(link)
	}
	for _, at := range sortedKeys(d.outbound) {
		p.receiveAsClient(d.outbound[at])
	}
	p.call(d)
	p.send(d)
	p.decide(d)
}

func sortedKeys(links map[int]*simulatedLink) []int {
	keys := make([]int, 0, len(links))
	for key := range links {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// maintain opens the connections that the daemon wants.
func (p *play) maintain(d *simulatedDaemon) {
	for _, name := range d.part.Candidates(p.now) {
		at := p.indexes[name]
		other := p.daemons[at]
		if other == d || d.outbound[at] != nil || p.isCut(d, other) {
			continue
		}
		switch {
		case !other.alive:
			d.part.Lost(p.now, name, true)
		case !other.frozen:
			link := &simulatedLink{client: d, server: other, clientOpen: true, serverOpen: true, clientHeard: p.now, serverHeard: p.now}
			d.outbound[at] = link
			other.inbound = append(other.inbound, link)
			other.part.Joined(link)
			d.part.Connected(p.now, name)
		}
	}
}

// receiveAsServer reads what came from the daemon that opened a connection.
func (p *play) receiveAsServer(link *simulatedLink) {
	if !link.serverOpen {
		return
	}
	if !p.isCut(link.client, link.server) && link.clientOpen && !link.client.frozen {
		link.serverHeard = p.now
	}
	for len(link.toServer) > 0 && !p.now.Before(link.toServer[0].at) && !p.isCut(link.client, link.server) {
		frame := link.toServer[0]
		link.toServer = link.toServer[1:]
		if frame.end {
			p.closeServer(link)
			return
		}
		p.frames[link.server.name]++
		p.bytes[link.server.name] += proto.Size(frame.ask)
		if grant := link.server.part.ReceiveAsk(p.now, link.client.name, link, frame.ask); grant != nil {
			link.toClient = append(link.toClient, p.frame(link.toClient, simulatedFrame{grant: grant}))
		}
	}
	if p.now.Sub(link.serverHeard) >= simulatedSilence {
		p.closeServer(link)
	}
}

func (p *play) closeServer(link *simulatedLink) {
	link.serverOpen = false
	link.server.part.Left(p.now, link.client.name, link)
	link.toClient = append(link.toClient, p.frame(link.toClient, simulatedFrame{end: true}))
}

// receiveAsClient reads what came from the daemon to which a connection was opened.
func (p *play) receiveAsClient(link *simulatedLink) {
	if !p.isCut(link.client, link.server) && link.serverOpen && !link.server.frozen {
		link.clientHeard = p.now
	}
	for len(link.toClient) > 0 && !p.now.Before(link.toClient[0].at) && !p.isCut(link.client, link.server) {
		frame := link.toClient[0]
		link.toClient = link.toClient[1:]
		if frame.end {
			p.closeClient(link)
			return
		}
		p.frames[link.client.name]++
		p.bytes[link.client.name] += proto.Size(frame.grant)
		link.client.part.ReceiveGrant(p.now, link.server.name, frame.grant)
	}
	if p.now.Sub(link.clientHeard) >= simulatedSilence {
		p.closeClient(link)
	}
}

func (p *play) closeClient(link *simulatedLink) {
	link.clientOpen = false
	delete(link.client.outbound, link.server.index)
	link.client.part.Lost(p.now, link.server.name, false)
	if link.serverOpen && !p.isCut(link.client, link.server) {
		link.serverOpen = false
		link.server.part.Left(p.now, link.client.name, link)
	}
}

// send sends what the daemon has to say.
func (p *play) send(d *simulatedDaemon) {
	for _, message := range d.part.Outgoing(p.now) {
		link := d.outbound[p.indexes[message.To]]
		if link == nil {
			continue
		}
		for range 1 + p.random.IntN(2) { // An ask may come twice.
			link.toServer = append(link.toServer, p.frame(link.toServer, simulatedFrame{ask: message.Ask}))
		}
	}
}

// call lets callers ask.
func (p *play) call(d *simulatedDaemon) {
	for _, name := range sortedNames(p.limits) {
		calls := p.load[name] * simulatedTick.Seconds() / float64(len(p.daemons))
		count := int(calls)
		if p.random.Float64() < calls-float64(count) {
			count++
		}
		for range count {
			if p.asked != nil {
				p.asked(name)
			}
			d.waiting = append(d.waiting, waitingCall{d.part.Take(p.now, name, p.limits[name], 1, p.lateCalls && len(d.waiting)%4 == 3), p.now})
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

// decide lets the calls go whose outcome is known.
func (p *play) decide(d *simulatedDaemon) {
	d.waiting = slices.DeleteFunc(d.waiting, func(call waitingCall) bool {
		if p.now.Sub(call.since) >= answerPatience {
			d.part.GiveUp(p.now, call.ticket)
		}
		select {
		case outcome := <-call.ticket.Decided:
			p.finish(d, call.ticket, outcome)
			return true
		default:
			return false
		}
	})
}

func (p *play) finish(d *simulatedDaemon, ticket *Ticket, outcome Outcome) {
	switch {
	case outcome.Unreachable:
		p.unreachable++
	case !outcome.Granted:
		p.refused++
	case p.random.Float64() < p.notRunShare:
		after := time.Duration(p.random.Int64N(int64(3 * time.Second)))
		p.backs = append(p.backs, pendingReturn{at: p.now.Add(after), daemon: d, life: d.life, ticket: ticket})
	default:
		p.granted++
		p.grantedOf[ticket.allowance]++
		p.note(ticket.allowance)
		if p.variant.returnRan {
			d.part.GiveBack(p.now, ticket)
		}
	}
}

// giveBack returns the credit of calls that did not run.
func (p *play) giveBack() {
	p.backs = slices.DeleteFunc(p.backs, func(back pendingReturn) bool {
		if p.now.Before(back.at) {
			return false
		}
		if back.daemon.alive && back.daemon.life == back.life && !back.daemon.frozen {
			back.daemon.part.GiveBack(p.now, back.ticket)
		}
		return true
	})
}

// note records a call that runs, and whether it is one too many.
func (p *play) note(name string) {
	times := append(p.ran[name], p.now)
	for len(times) > 0 && p.now.Sub(times[0]) > p.bounds.Window {
		times = times[1:]
	}
	p.ran[name] = times
	if most := p.bounds.allowed(p.limits[name]); float64(len(times)) > most && p.overshoot == "" {
		p.overshoot = fmt.Sprintf("%s: %d calls in a window that allows %.1f, at %v", name, len(times), most, p.now.Sub(time.Unix(1000, 0)))
	}
}
