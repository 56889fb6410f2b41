package worktime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var begun = time.Unix(1000, 0)

// stateEvery adds a statement every interval from the start, and returns the time of the last one.
func stateEvery(s *Statements, interval time.Duration, count int, percent func(number int) uint32) time.Time {
	at := begun
	for number := range count {
		at = begun.Add(time.Duration(number) * interval)
		s.Add(percent(number), at)
	}
	return at
}

// bearOut has as many answers bear the statements out as it takes for them to count.
func bearOut(s *Statements) {
	for range answersNeeded {
		s.Judge(0.1, 0.1, 0.1)
	}
}

func always(percent uint32) func(int) uint32 { return func(int) uint32 { return percent } }

func near(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.01*want, "%g, not %g", got, want)
}

// An instance that states nothing changes nothing.
func TestNoStatements(t *testing.T) {
	var s Statements
	stateEvery(&s, time.Second, 10, always(0))
	_, stated := s.Newest()
	assert.Assert(t, !stated && !s.Believed())
	assert.Equal(t, s.RatioNow(begun), 1.0)
}

// What is always stated lasts, and what is stated once passes.
func TestWhatLastsAndWhatPasses(t *testing.T) {
	var s Statements
	last := stateEvery(&s, 100*time.Millisecond, 50, always(120))
	near(t, s.lasting, 120)
	assert.Equal(t, s.RatioNow(last), 1.0, "no answer has borne it out")
	bearOut(&s)
	near(t, s.RatioNow(last), 1.2)
	slowed := last.Add(100 * time.Millisecond)
	s.Add(300, slowed)
	near(t, s.RatioNow(slowed), 3)
	assert.Assert(t, s.lasting < 130)
	assert.Assert(t, s.RatioNow(slowed.Add(time.Second)) < 2)
	near(t, s.RatioNow(slowed.Add(10*time.Minute)), 1)
}

// The newest statement counts for less the older it is, and none takes the value beyond what was
// stated.
func TestStatementsFade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Statements
		percents := rapid.SliceOfN(rapid.Uint32Range(50, 400), 1, 30).Draw(t, "percents")
		last := stateEvery(&s, 200*time.Millisecond, len(percents), func(number int) uint32 { return percents[number] })
		bearOut(&s)
		ages := rapid.SliceOfN(rapid.IntRange(0, 60_000), 2, 2).Draw(t, "ages")
		sooner, later := min(ages[0], ages[1]), max(ages[0], ages[1])
		distance := func(millis int) float64 {
			return math.Abs(s.expected(s.memory(), last.Add(time.Duration(millis)*time.Millisecond)) - s.lasting)
		}
		assert.Assert(t, distance(later) <= distance(sooner)+1e-9)
		ratio := s.RatioNow(last.Add(time.Duration(sooner) * time.Millisecond))
		assert.Assert(t, ratio >= 0.5 && ratio <= 4, "%g", ratio)
	})
}

// A statement is kept the longer, the more slowly they change.
func TestStatementsFadeAsFastAsTheyChange(t *testing.T) {
	changing := func(every int) func(int) uint32 {
		return func(number int) uint32 {
			if rand.New(rand.NewPCG(uint64(number/every), 0)).IntN(2) == 0 {
				return 100
			}
			return 250
		}
	}
	var fast, slow Statements
	stateEvery(&fast, 100*time.Millisecond, 400, changing(1))
	stateEvery(&slow, 100*time.Millisecond, 400, changing(100))
	assert.Assert(t, fast.memory() < slow.memory(), "%v, %v", fast.memory(), slow.memory())
}

// Statements that were held up on their way change nothing.
func TestOldStatementsArePassedOver(t *testing.T) {
	var s Statements
	s.Add(100, begun)
	s.Add(900, begun.Add(-time.Second))
	bearOut(&s)
	assert.Equal(t, s.RatioNow(begun), 1.0)
}

// An instance whose statements have nothing to do with its answers is mostly not believed; one whose
// answers follow them is.
func TestStatementsThatExplainNothingAreNotBelieved(t *testing.T) {
	const answers, learned = 2000, 200
	for name, tells := range map[string]bool{"tells": true, "lies": false} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var s Statements
			believed := 0
			for number := range answers {
				at := begun.Add(time.Duration(number) * 100 * time.Millisecond)
				slowdown := 1 + 2*float64(random.IntN(2))
				took := 0.1 * slowdown * math.Exp(0.7*random.NormFloat64())
				stated := slowdown
				if !tells {
					stated = 1 + 2*float64(random.IntN(2))
				}
				s.Add(uint32(AsUsual*stated), at)
				s.Judge(took, 0.1*stated, 0.17)
				if number >= learned && s.Believed() {
					believed++
				}
			}
			share := float64(believed) / (answers - learned)
			assert.Assert(t, tells == (share > 0.9) && tells != (share < 0.25), "%.2f", share)
		})
	}
}
