package worktime_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/requestpath/worktime"
)

// The played load: calls whose work varies, at servers of different speed. Other programs on their
// machines slow some servers at a time, others every changeEvery.
const (
	serverSlots  = 12
	usualWork    = 140 * time.Millisecond
	workSpread   = 0.7 // The deviation of the logarithm of the work.
	callTarget   = 500 * time.Millisecond
	slowedShare  = 0.15
	slowedFactor = 2.5
	changeEvery  = 600 * time.Millisecond
	changes      = 100 // Then the same changes come again.
	detours      = 2
	route        = "lookup"
)

// start is when all plays begin.
var start = time.Unix(1000, 0)

// server is a played instance with the daemon beside it: it works on serverSlots calls at once, and
// the others wait in the order of their arrival.
type server struct {
	number int
	// longer is how many times as long as usual work takes there.
	longer float64
	// slowed tells for each changeEvery from the start whether work is slowed there.
	slowed  []bool
	running int
	waiting []*call
	// busy is the slot time used, and mean the smoothed slot time of a call, in seconds.
	busy, mean float64
}

// call is one call with the instance as the daemon knows it that sent it.
type call struct {
	came, began time.Time
	work        time.Duration
	target      *balance.Target
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play is one load on uneven servers.
type play struct {
	now     time.Time
	events  events
	servers []*server
	// states is true where servers state how long work takes there.
	states bool
	random *rand.Rand
	// took are the times until the answers, and refused and returned the calls that no server took
	// and those that a server did not take.
	took              []time.Duration
	refused, returned int
}

func newPlay(ratios []float64, states bool, seed uint64) *play {
	p := &play{now: start, states: states, random: rand.New(rand.NewPCG(seed, 0))}
	for number, longer := range ratios {
		slowed := make([]bool, changes)
		for span := range slowed {
			slowed[span] = p.random.Float64() < slowedShare
		}
		p.servers = append(p.servers, &server{number: number, longer: longer, slowed: slowed, mean: usualWork.Seconds() * longer})
	}
	return p
}

// slowdown returns how many times as long as usual work takes at a server at a time.
func (p *play) slowdown(on *server, at time.Time) float64 {
	span := int(at.Sub(start) / changeEvery)
	if on.slowed[span%len(on.slowed)] {
		return slowedFactor
	}
	return 1
}

// doneAt returns when work that a server begins now is done.
func (p *play) doneAt(on *server, work time.Duration) time.Time {
	at, left := p.now, float64(work)*on.longer
	for {
		slowdown := p.slowdown(on, at)
		next := start.Add((at.Sub(start)/changeEvery + 1) * changeEvery)
		if need := time.Duration(left * slowdown); need <= next.Sub(at) {
			return at.Add(need)
		}
		left -= float64(next.Sub(at)) / slowdown
		at = next
	}
}

// accept has a server take a call, or not where it would wait too long.
func (p *play) accept(on *server, sent *call, mayWait time.Duration) bool {
	wait := time.Duration(on.mean * float64(len(on.waiting)) / serverSlots * float64(time.Second))
	if wait > mayWait {
		return false
	}
	if on.running < serverSlots {
		p.begin(on, sent)
	} else {
		on.waiting = append(on.waiting, sent)
	}
	return true
}

func (p *play) begin(on *server, sent *call) {
	on.running++
	sent.began = p.now
	done := p.doneAt(on, sent.work)
	on.busy += done.Sub(p.now).Seconds()
	heap.Push(&p.events, event{done, func() { p.end(on, sent) }})
}

func (p *play) end(on *server, sent *call) {
	on.running--
	on.mean += 0.1 * (p.now.Sub(sent.began).Seconds() - on.mean)
	p.took = append(p.took, p.now.Sub(sent.came))
	percent := uint32(0)
	if p.states {
		percent = uint32(worktime.AsUsual * on.longer * p.slowdown(on, p.now))
	}
	if sent.target != nil {
		sent.target.End()
		sent.target.Reported(float32(on.running+len(on.waiting))/serverSlots, p.now)
		sent.target.StatedWork(percent, p.now)
		sent.target.Answered(route, p.now.Sub(sent.began), p.now)
	}
	if len(on.waiting) > 0 {
		next := on.waiting[0]
		on.waiting = on.waiting[1:]
		p.begin(on, next)
	}
}

// run plays calls at random times, perSecond in the mean, until all are answered; send passes each
// to a server.
func (p *play) run(perSecond float64, lasts time.Duration, send func(*call)) {
	until := p.now.Add(lasts)
	var next func()
	next = func() {
		work := math.Exp(workSpread*p.random.NormFloat64() - workSpread*workSpread/2)
		send(&call{came: p.now, work: time.Duration(work * float64(usualWork))})
		if at := p.now.Add(time.Duration(p.random.ExpFloat64() / perSecond * float64(time.Second))); at.Before(until) {
			heap.Push(&p.events, event{at, next})
		}
	}
	next()
	for len(p.events) > 0 {
		first := heap.Pop(&p.events).(event)
		p.now = first.at
		first.do()
	}
}

// capacity is the number of calls a second that the servers can do together.
func (p *play) capacity() float64 {
	speeds := 0.0
	for _, on := range p.servers {
		speeds += 1 / on.longer
	}
	return speeds * serverSlots / usualWork.Seconds() / (1 - slowedShare + slowedShare*slowedFactor)
}

// byDaemons plays with daemons that see the answers to their own calls only.
func (p *play) byDaemons(load float64, lasts time.Duration) {
	const daemons = 24
	service := &snapshot.Service{Bundle: &lapisv1.Bundle{Pool: &lapisv1.Pool{Name: "desk", Slots: serverSlots}}}
	var endpoints []*lapisv1.Endpoint
	byName := map[string]*server{}
	for _, on := range p.servers {
		name := fmt.Sprint("desk-", on.number)
		byName[name] = on
		endpoints = append(endpoints, &lapisv1.Endpoint{Service: "desk", Instance: name, Zone: "a", Slots: serverSlots, Incarnation: 1, State: lapisv1.Endpoint_STATE_READY})
	}
	var balancers []*balance.Balancer
	for number := range daemons {
		balancer := balance.New(fmt.Sprint("daemon-", number), "a", "", func() time.Time { return p.now })
		balancer.Update("desk", endpoints)
		balancers = append(balancers, balancer)
	}
	p.run(load*p.capacity(), lasts, func(sent *call) {
		balancer := balancers[p.random.IntN(daemons)]
		var tried []*balance.Target
		for len(tried) <= detours {
			chosen, err := balancer.Pick(service, balance.Choice{Route: route, TargetLatency: callTarget, Exclude: tried})
			if err != nil {
				break
			}
			bounds := refusal.BoundsOf(refusal.Timing{Target: callTarget, ServiceTime: chosen.ServiceTime(route)})
			sent.target = chosen
			chosen.Begin()
			if p.accept(byName[chosen.Endpoint.GetInstance()], sent, bounds.MaxWait) {
				return
			}
			chosen.End()
			tried = append(tried, chosen)
			p.returned++
		}
		p.refused++
	})
}

// ideal plays with full knowledge: each call goes where it is done first.
func (p *play) ideal(load float64, lasts time.Duration) {
	p.run(load*p.capacity(), lasts, func(sent *call) {
		best := slices.MinFunc(p.servers, func(a, b *server) int { return p.expectedAt(a, sent).Compare(p.expectedAt(b, sent)) })
		if p.expectedAt(best, sent).Sub(p.now) > callTarget || !p.accept(best, sent, callTarget) {
			p.refused++
		}
	})
}

func (p *play) expectedAt(on *server, sent *call) time.Time {
	ahead := max(on.running+len(on.waiting)+1-serverSlots, 0)
	wait := time.Duration(float64(ahead) * float64(usualWork) * on.longer / serverSlots * p.slowdown(on, p.now))
	return p.doneAt(on, sent.work).Add(wait)
}

// figures are what callers get in a play.
type figures struct {
	median, high                time.Duration
	punctual, least, most       float64
	refused, returned, answered int
}

func (p *play) figures(lasts time.Duration) figures {
	took := slices.Sorted(slices.Values(p.took))
	inTime, _ := slices.BinarySearch(took, callTarget+1)
	seen := figures{
		median: took[len(took)/2], high: took[len(took)*99/100], punctual: float64(inTime) / float64(len(took)+p.refused),
		least: math.Inf(1), refused: p.refused, returned: p.returned, answered: len(took),
	}
	for _, on := range p.servers {
		busy := on.busy / lasts.Seconds() / serverSlots
		seen.least, seen.most = min(seen.least, busy), max(seen.most, busy)
	}
	return seen
}

func (f figures) String() string {
	return fmt.Sprintf("in time %.3f, p50 %v, p99 %v, slots used %.2f to %.2f, answered %d, refused %d, returned %d", f.punctual,
		f.median.Round(time.Millisecond), f.high.Round(time.Millisecond), f.least, f.most, f.answered, f.refused, f.returned)
}

// Servers of different speed whose machines are slowed at times serve callers better when they state
// it: of the calls that would be late or refused, a part is in time.
func TestUnevenServersThatStateTheirWork(t *testing.T) {
	const lasts = 10 * time.Second
	missed := map[string]float64{}
	for name, ratios := range map[string][]float64{
		"one of four at 0.55, three at 1.2": {0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2},
		"two of three at 0.7, one at 1.6":   {0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6, 0.7, 0.7, 1.6},
	} {
		for _, load := range []float64{0.6, 0.9, 1.1} {
			for rule, with := range map[string]func(*play){
				"not stated":     func(p *play) { p.byDaemons(load, lasts) },
				"stated":         func(p *play) { p.states = true; p.byDaemons(load, lasts) },
				"full knowledge": func(p *play) { p.ideal(load, lasts) },
			} {
				p := newPlay(ratios, false, 3)
				with(p)
				seen := p.figures(lasts)
				missed[rule] += 1 - seen.punctual
				t.Logf("%s, load %.1f, %s: %v", name, load, rule, seen)
			}
		}
	}
	assert.Assert(t, missed["stated"] < missed["not stated"], "%v", missed)
}
