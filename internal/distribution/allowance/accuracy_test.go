package allowance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idealLimiter is a single limiter that sees all calls: in any window it grants no more calls than
// the rate and the burst allow.
type idealLimiter struct {
	limit   Limit
	times   []time.Time
	granted int
}

func (r *idealLimiter) ask(now time.Time, window time.Duration) {
	for len(r.times) > 0 && now.Sub(r.times[0]) > window {
		r.times = r.times[1:]
	}
	if float64(len(r.times)) < r.limit.Rate*window.Seconds()+float64(r.limit.Burst) {
		r.times = append(r.times, now)
		r.granted++
	}
}

// demandFactors are the call rates of accounts, as multiples of their limits.
var demandFactors = []float64{0.5, 0.95, 1, 1.5, 8}

// accuracy is the result of one simulation.
type accuracy struct {
	overshoot string
	// lost is the fraction of the calls granted by the ideal limiter that were refused, by demand
	// factor.
	lost map[float64]float64
	// messages and bytes are averages per daemon and second; maxMessages and maxBytes are those of
	// the daemon with the highest values.
	messages, maxMessages, bytes, maxBytes float64
}

// simulateAccounts runs a fleet with 80 accounts of skewed size. With isolate set, a tenth of the
// daemons is partitioned from the rest after a third of the run.
func simulateAccounts(daemons int, isolate bool) accuracy {
	const accounts, callsPerDaemon, warmUpTicks, measuredTicks, drainTicks = 80, 18.4, 250, 500, 25
	s := newSimulation(uint64(daemons), daemons, variant{})
	s.maxDelay = 4 * time.Millisecond
	references := map[string]*idealLimiter{}
	demandOf := map[string]float64{}
	total := 0.0
	for account := range accounts {
		total += math.Pow(float64(account+1), -1.2)
	}
	for account := range accounts {
		name := fmt.Sprintf("account/%d", account)
		meanRate := callsPerDaemon * float64(daemons) * math.Pow(float64(account+1), -1.2) / total
		demand := demandFactors[account%len(demandFactors)]
		rate := max(1, math.Round(meanRate/demand))
		s.limits[name] = Limit{Rate: rate, Burst: uint32(rate)}
		s.load[name] = rate * demand
		demandOf[name] = demand
		references[name] = &idealLimiter{limit: s.limits[name]}
	}
	for _, d := range s.daemons {
		s.start(d)
	}
	load := s.load
	s.load = map[string]float64{}
	for range warmUpTicks {
		s.step()
	}
	s.load = load
	s.onCall = func(name string) { references[name].ask(s.now, s.bounds.Window) }
	clear(s.frames)
	clear(s.bytes)
	for tick := range measuredTicks {
		if isolate && tick == measuredTicks/3 {
			s.isolateTenth()
		}
		s.step()
	}
	s.load = map[string]float64{}
	for range drainTicks {
		s.step()
	}
	return s.accuracyAgainst(references, demandOf, measuredTicks*simulatedTick.Seconds())
}

// isolateTenth partitions a tenth of the daemons from all others.
func (s *simulation) isolateTenth() {
	for at := 0; at < len(s.daemons); at += 10 {
		for other := range s.daemons {
			if other != at {
				s.setPartitioned(at, other, true)
			}
		}
	}
}

func (s *simulation) accuracyAgainst(references map[string]*idealLimiter, demandOf map[string]float64, seconds float64) accuracy {
	result := accuracy{overshoot: s.overshoot, lost: map[float64]float64{}}
	for _, demand := range demandFactors {
		granted, lost := 0, 0
		for name, reference := range references {
			if demandOf[name] == demand {
				granted += reference.granted
				lost += max(0, reference.granted-s.grantedOf[name])
			}
		}
		result.lost[demand] = float64(lost) / float64(granted)
	}
	for _, d := range s.daemons {
		messages, bytes := float64(s.frames[d.name])/seconds, float64(s.bytes[d.name])/seconds
		result.messages += messages / float64(len(s.daemons))
		result.bytes += bytes / float64(len(s.daemons))
		result.maxMessages, result.maxBytes = max(result.maxMessages, messages), max(result.maxBytes, bytes)
	}
	return result
}

// While the network is whole, accounts lose less than 0.5 % of the calls that an ideal limiter
// grants. In no case does an account exceed its limit. go test -v prints the table.
func TestAccuracy(t *testing.T) {
	const maxLost = 0.005
	for _, daemons := range []int{12, 76, 300} {
		if testing.Short() && daemons > 76 {
			continue
		}
		for _, isolate := range []bool{false, true} {
			got := simulateAccounts(daemons, isolate)
			row := fmt.Sprintf("daemons %d, a tenth partitioned %t:", daemons, isolate)
			for _, demand := range slices.Sorted(slices.Values(demandFactors)) {
				row += fmt.Sprintf(" lost at %.2f %.4f", demand, got.lost[demand])
			}
			t.Logf("%s; messages per second %.1f (max %.1f), bytes %.0f (max %.0f)", row, got.messages, got.maxMessages, got.bytes, got.maxBytes)
			assert.Check(t, got.overshoot == "", got.overshoot)
			for demand, lost := range got.lost {
				assert.Check(t, isolate || lost < maxLost, "%s demand %v lost %.4f", row, demand, lost)
			}
		}
	}
}
