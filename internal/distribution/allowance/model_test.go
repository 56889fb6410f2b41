package allowance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fault is a temporary failure in the simulated fleet.
type fault int

const (
	killOne fault = iota
	killMany
	killAll
	isolateOne
	partitionHalf
	partitionPair
	pauseOne
	faultCount
)

// injectFault starts a fault. heal ends the partitions that it created.
func (s *simulation) injectFault(kind fault) (heal func()) {
	one := s.random.IntN(len(s.daemons))
	back := time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	var pairs [][2]int
	switch kind {
	case killOne:
		s.kill(s.daemons[one], back)
	case killMany, killAll:
		for _, d := range s.daemons {
			if kind == killAll || s.random.IntN(2) == 0 {
				s.kill(d, back)
			}
		}
	case isolateOne:
		for other := range s.daemons {
			if other != one {
				pairs = append(pairs, [2]int{one, other})
			}
		}
	case partitionHalf:
		for a := range s.daemons {
			for b := range a {
				if (a < one) != (b < one) {
					pairs = append(pairs, [2]int{a, b})
				}
			}
		}
	case partitionPair:
		pairs = append(pairs, [2]int{one, (one + 1) % len(s.daemons)})
	case pauseOne:
		s.daemons[one].paused = true
		s.daemons[one].resumesAt = s.now.Add(back)
	}
	for _, pair := range pairs {
		s.setPartitioned(pair[0], pair[1], true)
	}
	return func() {
		for _, pair := range pairs {
			s.setPartitioned(pair[0], pair[1], false)
		}
	}
}

// simulateFaults runs a fleet with faults and a load far above the limits, and returns the
// simulation. With lateCalls set, some calls are late.
func simulateFaults(seed uint64, variant variant, lateCalls bool) *simulation {
	s := newSimulation(seed, 3+int(seed%7), variant)
	s.lateCalls = lateCalls
	s.limits["large"] = Limit{Rate: 60, Burst: 60}
	s.limits["small"] = Limit{Rate: 3, Burst: 3}
	s.limits["bursty"] = Limit{Rate: 5, Burst: 100}
	for _, d := range s.daemons {
		if d.index < 2 || s.random.IntN(3) > 0 {
			s.start(d)
		} else { // Joins later.
			d.startsAt = s.now.Add(time.Duration(s.random.IntN(18000)) * time.Millisecond)
		}
	}
	heal := func() {}
	nextFault := 50 + s.random.IntN(200)
	for tick := range 1000 {
		if tick%50 == 0 {
			if tick%200 == 0 {
				s.notRunShare = []float64{0, 0, 0.3, 0.9}[s.random.IntN(4)]
			}
			for _, name := range sortedNames(s.limits) {
				s.load[name] = s.limits[name].Rate * []float64{0, 1, 3, 9}[s.random.IntN(4)]
			}
		}
		if tick == nextFault {
			heal()
			heal = s.injectFault(fault(s.random.IntN(int(faultCount))))
			nextFault += 10 + s.random.IntN(250)
		}
		s.step()
	}
	return s
}

// In any window, no more calls run than the bounds allow while daemons restart, are partitioned,
// stall or join late.
func TestLimitsHoldThroughFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulateFaults(rapid.Uint64().Draw(t, "seed"), variant{}, rapid.Bool().Draw(t, "late"))
		assert.Equal(t, s.overshoot, "")
	})
}

// Two daemons own the same allowances for a long time because the others disagree. Together they
// may accumulate only one burst.
func TestLimitsHoldWhileOwnersDisagree(t *testing.T) {
	const seed = 0x703aad775302ab2 // Fails if each owner holds the whole burst.
	assert.Equal(t, simulateFaults(seed, variant{}, false).overshoot, "")
}
