package worktime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// reportEvery adds count reports, one per interval from testStart, and returns the time of the
// last.
func reportEvery(s *Tracker, interval time.Duration, count int, percent func(number int) uint32) time.Time {
	at := testStart
	for number := range count {
		at = testStart.Add(time.Duration(number) * interval)
		s.Add(percent(number), at)
	}
	return at
}

// makeTrusted records as many well predicted answers as the reports need to be trusted.
func makeTrusted(s *Tracker) {
	for range minAnswers {
		s.RecordServiceTime(0.1, 0.1, 0.1)
	}
}

func always(percent uint32) func(int) uint32 { return func(int) uint32 { return percent } }

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 0.01*want, "%g, not %g", got, want)
}

// Checks that a tracker without reports changes nothing.
func TestNoStatements(t *testing.T) {
	var s Tracker
	reportEvery(&s, time.Second, 10, always(0))
	_, reported := s.LatestTime()
	assert.Assert(t, !reported && !s.Trusted())
	assert.Equal(t, s.CurrentRatio(testStart), 1.0)
}

// Checks that a constant report becomes the baseline, and that a single different report decays.
func TestWhatLastsAndWhatPasses(t *testing.T) {
	var s Tracker
	last := reportEvery(&s, 100*time.Millisecond, 50, always(120))
	assertNear(t, s.baseline, 120)
	assert.Equal(t, s.CurrentRatio(last), 1.0, "reports are not trusted before the first answers")
	makeTrusted(&s)
	assertNear(t, s.CurrentRatio(last), 1.2)
	slowed := last.Add(100 * time.Millisecond)
	s.Add(300, slowed)
	assertNear(t, s.CurrentRatio(slowed), 3)
	assert.Assert(t, s.baseline < 130)
	assert.Assert(t, s.CurrentRatio(slowed.Add(time.Second)) < 2)
	assertNear(t, s.CurrentRatio(slowed.Add(10*time.Minute)), 1)
}

// Checks that the weight of the newest report decreases with its age, and that the ratio stays
// within the range of the reported values.
func TestStatementsFade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Tracker
		percents := rapid.SliceOfN(rapid.Uint32Range(50, 400), 1, 30).Draw(t, "percents")
		last := reportEvery(&s, 200*time.Millisecond, len(percents), func(number int) uint32 { return percents[number] })
		makeTrusted(&s)
		ages := rapid.SliceOfN(rapid.IntRange(0, 60_000), 2, 2).Draw(t, "ages")
		sooner, later := min(ages[0], ages[1]), max(ages[0], ages[1])
		distance := func(millis int) float64 {
			return math.Abs(s.predicted(s.timeConstant(), last.Add(time.Duration(millis)*time.Millisecond)) - s.baseline)
		}
		assert.Assert(t, distance(later) <= distance(sooner)+1e-9)
		ratio := s.CurrentRatio(last.Add(time.Duration(sooner) * time.Millisecond))
		assert.Assert(t, ratio >= 0.5 && ratio <= 4, "%g", ratio)
	})
}

// Checks that reports decay more slowly if the reported values change more slowly.
func TestStatementsFadeAsFastAsTheyChange(t *testing.T) {
	changing := func(every int) func(int) uint32 {
		return func(number int) uint32 {
			if rand.New(rand.NewPCG(uint64(number/every), 0)).IntN(2) == 0 {
				return 100
			}
			return 250
		}
	}
	var fast, slow Tracker
	reportEvery(&fast, 100*time.Millisecond, 400, changing(1))
	reportEvery(&slow, 100*time.Millisecond, 400, changing(100))
	assert.Assert(t, fast.timeConstant() < slow.timeConstant(), "%v, %v", fast.timeConstant(), slow.timeConstant())
}

// Checks that a report that arrives late is ignored.
func TestOldStatementsArePassedOver(t *testing.T) {
	var s Tracker
	s.Add(100, testStart)
	s.Add(900, testStart.Add(-time.Second))
	makeTrusted(&s)
	assert.Equal(t, s.CurrentRatio(testStart), 1.0)
}

// Checks that reports unrelated to the service times are mostly not trusted, and that reports that
// predict them are.
func TestStatementsThatExplainNothingAreNotBelieved(t *testing.T) {
	const answers, learned = 2000, 200
	for name, informative := range map[string]bool{"informative": true, "unrelated": false} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var s Tracker
			trusted := 0
			for number := range answers {
				at := testStart.Add(time.Duration(number) * 100 * time.Millisecond)
				slowdown := 1 + 2*float64(random.IntN(2))
				observed := 0.1 * slowdown * math.Exp(0.7*random.NormFloat64())
				reported := slowdown
				if !informative {
					reported = 1 + 2*float64(random.IntN(2))
				}
				s.Add(uint32(UsualPercent*reported), at)
				s.RecordServiceTime(observed, 0.1*reported, 0.17)
				if number >= learned && s.Trusted() {
					trusted++
				}
			}
			share := float64(trusted) / (answers - learned)
			assert.Assert(t, informative == (share > 0.9) && informative != (share < 0.25), "%.2f", share)
		})
	}
}
