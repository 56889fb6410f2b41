package allowance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartsInAnOutage are the daemons that restart during an outage of the directory, by name.
var restartsInAnOutage = map[string]func(*simulation){
	"all at once":   func(s *simulation) { s.killSome(len(s.daemons)) },
	"half":          func(s *simulation) { s.killSome((len(s.daemons) + 1) / 2) },
	"all in series": (*simulation).killInSeries,
}

// restartTime returns how long a killed daemon is down.
func (s *simulation) restartTime() time.Duration {
	return time.Duration(200+s.random.IntN(400)) * time.Millisecond
}

func (s *simulation) killSome(count int) {
	for _, d := range s.daemons[:count] {
		s.kill(d, s.restartTime())
	}
}

// killInSeries kills one daemon after the other within three seconds.
func (s *simulation) killInSeries() {
	for _, d := range s.daemons {
		s.kill(d, s.restartTime())
		s.runFor(3 * time.Second / time.Duration(len(s.daemons)))
	}
}

func (s *simulation) runFor(during time.Duration) {
	for end := s.now.Add(during); s.now.Before(end); {
		s.step()
	}
}

// simulateOutage runs a fleet with a load far above the limits, in which daemons restart during an outage
// of the directory. It returns the simulation 3 s after the end of the outage.
func simulateOutage(seed uint64, daemons int, restart func(*simulation), variant variant) *simulation {
	s := newSimulation(seed, daemons, variant)
	s.limits["large"], s.limits["bursty"] = Limit{Rate: 60, Burst: 60}, Limit{Rate: 5, Burst: 100}
	for _, d := range s.daemons {
		s.start(d)
	}
	s.runFor(3 * time.Second)
	s.load["large"], s.load["bursty"] = 300, 200
	s.runFor(3 * time.Second)
	s.directoryDown = true
	restart(s)
	s.runFor(3 * time.Second)
	s.endOutage()
	s.runFor(3 * time.Second)
	return s
}

// Daemons that restart while they cannot learn of each other do not lend the same limit several times, and
// lend again once they know each other.
func TestLimitsHoldWhenDaemonsRestartWithoutTheDirectory(t *testing.T) {
	for name, restart := range restartsInAnOutage {
		for _, daemons := range []int{3, 12, 300} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				for seed := range uint64(max(1, 60/daemons)) {
					s := simulateOutage(seed, daemons, restart, variant{})
					before := s.granted
					s.runFor(7 * time.Second)
					assert.Equal(t, s.overshoot, "", "seed %d", seed)
					granted := s.granted - before
					assert.Assert(t, float64(granted) > 0.8*65*7, "seed %d: %d calls granted in 7 s", seed, granted)
				}
			})
		}
	}
}
