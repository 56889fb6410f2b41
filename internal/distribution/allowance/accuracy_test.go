package allowance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reference is what one limiter would let go that sees all calls: in no window more than the rate and
// the burst allow.
type reference struct {
	limit   Limit
	times   []time.Time
	granted int
}

func (r *reference) ask(now time.Time, window time.Duration) {
	for len(r.times) > 0 && now.Sub(r.times[0]) > window {
		r.times = r.times[1:]
	}
	if float64(len(r.times)) < r.limit.Rate*window.Seconds()+float64(r.limit.Burst) {
		r.times = append(r.times, now)
		r.granted++
	}
}

// demands are what accounts ask, in parts of their rates.
var demands = []float64{0.5, 0.95, 1, 1.5, 8}

// accuracy is what came of one play.
type accuracy struct {
	over string
	// lost is the part that was refused of what the reference lets go, by demand.
	lost map[float64]float64
	// messages and bytes a second are those of the mean daemon, and of the daemon with the most.
	messages, mostMessages, bytes, mostBytes float64
}

// measure plays a fleet of so many daemons with 80 accounts of skewed size, and cuts a tenth of the
// daemons off where cutOff is true.
func measure(daemons int, cutOff bool) accuracy {
	const accounts, callsPerDaemon, warmUp, measured, decided = 80, 18.4, 250, 500, 25
	p := newPlay(uint64(daemons), daemons, variant{})
	p.delay = 4 * time.Millisecond
	references := map[string]*reference{}
	demandOf := map[string]float64{}
	total := 0.0
	for account := range accounts {
		total += math.Pow(float64(account+1), -1.2)
	}
	for account := range accounts {
		name := fmt.Sprintf("account/%d", account)
		usual := callsPerDaemon * float64(daemons) * math.Pow(float64(account+1), -1.2) / total
		demand := demands[account%len(demands)]
		rate := max(1, math.Round(usual/demand))
		p.limits[name] = Limit{Rate: rate, Burst: uint32(rate)}
		p.load[name] = rate * demand
		demandOf[name] = demand
		references[name] = &reference{limit: p.limits[name]}
	}
	for _, d := range p.daemons {
		p.start(d)
	}
	load := p.load
	p.load = map[string]float64{}
	for range warmUp {
		p.step()
	}
	p.load = load
	p.asked = func(name string) { references[name].ask(p.now, p.bounds.Window) }
	clear(p.frames)
	clear(p.bytes)
	for tick := range measured {
		if cutOff && tick == measured/3 {
			p.cutTenth()
		}
		p.step()
	}
	p.load = map[string]float64{}
	for range decided {
		p.step()
	}
	return p.accuracyAgainst(references, demandOf, measured*simulatedTick.Seconds())
}

// cutTenth cuts a tenth of the daemons off from all others.
func (p *play) cutTenth() {
	for at := 0; at < len(p.daemons); at += 10 {
		for other := range p.daemons {
			if other != at {
				p.setCut(at, other, true)
			}
		}
	}
}

func (p *play) accuracyAgainst(references map[string]*reference, demandOf map[string]float64, seconds float64) accuracy {
	result := accuracy{over: p.overshoot, lost: map[float64]float64{}}
	for _, demand := range demands {
		granted, lost := 0, 0
		for name, known := range references {
			if demandOf[name] == demand {
				granted += known.granted
				lost += max(0, known.granted-p.grantedOf[name])
			}
		}
		result.lost[demand] = float64(lost) / float64(granted)
	}
	for _, d := range p.daemons {
		messages, bytes := float64(p.frames[d.name])/seconds, float64(p.bytes[d.name])/seconds
		result.messages += messages / float64(len(p.daemons))
		result.bytes += bytes / float64(len(p.daemons))
		result.mostMessages, result.mostBytes = max(result.mostMessages, messages), max(result.mostBytes, bytes)
	}
	return result
}

// Accounts within their limit are refused next to nothing while nothing is cut off, and no account goes
// over its limit; go test -v prints the table.
func TestAccuracy(t *testing.T) {
	const mostLost = 0.005
	for _, daemons := range []int{12, 76, 300} {
		if testing.Short() && daemons > 76 {
			continue
		}
		for _, cutOff := range []bool{false, true} {
			got := measure(daemons, cutOff)
			row := fmt.Sprintf("daemons %d, a tenth cut off %t:", daemons, cutOff)
			for _, demand := range slices.Sorted(slices.Values(demands)) {
				row += fmt.Sprintf(" lost at %.2f %.4f", demand, got.lost[demand])
			}
			t.Logf("%s; messages a second %.1f (most %.1f), bytes %.0f (most %.0f)", row, got.messages, got.mostMessages, got.bytes, got.mostBytes)
			assert.Check(t, got.over == "", got.over)
			for demand, lost := range got.lost {
				assert.Check(t, cutOff || lost < mostLost, "%s demand %v lost %.4f", row, demand, lost)
			}
		}
	}
}
