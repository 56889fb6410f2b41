package refusal

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Checks the required relations between the constants.
func TestRelationsBetweenTheTimes(t *testing.T) {
	assert.Assert(t, minLaterWait < minWait)
	assert.Assert(t, minStartTime < minWait)
	assert.Assert(t, headroomWaitFraction < 1 && deadlineWaitFraction < 0.5)
	assert.Assert(t, minServiceTimeFraction < 1)
	assert.Assert(t, 0 < minRetryFraction && minRetryFraction < maxRetryFraction && maxRetryFraction < 1, "a return must come within the target")
	assert.Assert(t, DefaultRetryAfter >= time.Second, "callers that parse whole seconds would read 0")
}

func TestBoundsOfACall(t *testing.T) {
	const ms = time.Millisecond
	for name, row := range map[string]struct {
		timing Timing
		want   Bounds
	}{
		"half of the headroom":     {Timing{Target: 400 * ms, ServiceTime: 100 * ms}, Bounds{300 * ms, 300 * ms, 150 * ms}},
		"less what was spent":      {Timing{Target: 400 * ms, ServiceTime: 100 * ms, Elapsed: 40 * ms}, Bounds{300 * ms, 260 * ms, 110 * ms}},
		"due from the first try":   {Timing{Target: 400 * ms, ServiceTime: 100 * ms, ElapsedBeforeArrival: 350 * ms}, Bounds{300 * ms, -50 * ms, 150 * ms}},
		"the deadline is near":     {Timing{Target: 400 * ms, HasDeadline: true, TimeToDeadline: 200 * ms}, Bounds{400 * ms, 400 * ms, 90 * ms}},
		"the deadline is far":      {Timing{Target: 400 * ms, HasDeadline: true, TimeToDeadline: 5 * time.Second}, Bounds{400 * ms, 400 * ms, 200 * ms}},
		"no headroom":              {Timing{Target: 100 * ms, ServiceTime: 300 * ms}, Bounds{-200 * ms, -200 * ms, minWait}},
		"all of the wait is spent": {Timing{Target: 400 * ms, Elapsed: 300 * ms}, Bounds{400 * ms, 100 * ms, minLaterWait}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, BoundsOf(row.timing), row.want) })
	}
}

// Checks that the waits of all attempts together stay below half of the time to the deadline,
// except for the minimum waits, whatever was spent before.
func TestWaitsLeaveTimeToRun(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		draw := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(random, name))
		}
		timing := Timing{
			Target: draw("target", 10*time.Second), ServiceTime: draw("service", 10*time.Second), Elapsed: draw("spent", 10*time.Second),
			HasDeadline: true, TimeToDeadline: draw("whole", 10*time.Second),
		}
		wait := BoundsOf(timing).MaxWait
		assert.Assert(t, wait >= minLaterWait)
		assert.Assert(t, wait <= max(timing.TimeToDeadline/2-timing.Elapsed, minWait-timing.Elapsed, minLaterWait))
	})
}

func TestHopelessIsLessThanHalfOfTheUsualTime(t *testing.T) {
	assert.Assert(t, TooLate(199*time.Millisecond, 400*time.Millisecond))
	assert.Assert(t, !TooLate(200*time.Millisecond, 400*time.Millisecond))
	assert.Assert(t, TooLate(minStartTime-1, 0))
	assert.Assert(t, !TooLate(minStartTime, 0))
	assert.Assert(t, TooLate(-time.Second, 0))
}

func TestWhenARefusedCallerMayReturn(t *testing.T) {
	const target, retryAfter = 200 * time.Millisecond, 42 * time.Second
	for name, row := range map[string]struct {
		refused  Refusal
		target   time.Duration
		from, to time.Duration
	}{
		"within the target":     {Refusal{Code: result.CallNotRunOverloaded, RetryAfter: retryAfter}, target, 30 * time.Millisecond, 120 * time.Millisecond},
		"no target":             {Refusal{Code: result.CallNotRunOverloaded, RetryAfter: retryAfter}, 0, retryAfter, retryAfter},
		"no target, none named": {Refusal{Code: result.CallNotRunOverloaded}, 0, 0, 0},
		"constrained":           {Refusal{Code: result.CallNoEndpoint, RetryAfter: retryAfter, Constrained: true}, target, retryAfter, retryAfter},
		"quarantined":           {Refusal{Code: result.CallNotRunQuarantined, RetryAfter: retryAfter}, target, retryAfter, retryAfter},
		"rate limited":          {Refusal{Code: result.CallRateLimited, RetryAfter: retryAfter}, target, retryAfter, retryAfter},
		"shed with room":        {Refusal{Code: result.CallNotRunShed, RetryAfter: 20 * time.Millisecond}, target, 20 * time.Millisecond, 40 * time.Millisecond},
		"shed, named late":      {Refusal{Code: result.CallNotRunShed, RetryAfter: retryAfter}, target, 30 * time.Millisecond, 120 * time.Millisecond},
		"shed, none named":      {Refusal{Code: result.CallNotRunShed}, target, 30 * time.Millisecond, 120 * time.Millisecond},
		"it may have run":       {Refusal{Code: result.CallUnknownOutcome, RetryAfter: retryAfter}, target, retryAfter, retryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			for range 1000 {
				delay := RetryAfter(row.refused, row.target, random.Float64())
				assert.Assert(t, delay >= row.from && delay <= row.to, "%s", delay)
			}
		})
	}
}

// Checks bounds and retry times against reference formulas on random inputs. A rate limit, which
// the formulas do not cover, keeps its retry time.
func TestTimesAreThoseOfTheReference(t *testing.T) {
	const inputs = 200_000
	random := rand.New(rand.NewPCG(3, 4))
	codes := result.Table()
	for range inputs {
		target := time.Duration(random.IntN(3000)) * time.Millisecond
		service, spent, spentBefore := time.Duration(random.Int64N(3e9)), time.Duration(random.Int64N(3e9)), time.Duration(random.Int64N(3e9))
		whole, hasDeadline := time.Duration(random.Int64N(6e9)-1e9), random.IntN(2) == 0
		timing := Timing{Target: target, ServiceTime: service, Elapsed: spent, ElapsedBeforeArrival: spentBefore, HasDeadline: hasDeadline, TimeToDeadline: whole}

		headroom := target - service
		limit := time.Duration(0.5 * float64(headroom))
		if hasDeadline {
			limit = min(limit, time.Duration(0.45*float64(whole)))
		}
		limit = max(limit, 50*time.Millisecond)
		// Assertions run only on a mismatch, because they would take most of the time for this many
		// inputs.
		bounds := Bounds{Headroom: headroom, StartWithin: headroom - spent - spentBefore, MaxWait: max(limit-spent, 5*time.Millisecond)}
		if got := BoundsOf(timing); got != bounds {
			assert.Equal(t, got, bounds)
		}

		minTime := max(10*time.Millisecond, time.Duration(0.5*float64(service)))
		if got := MinRemaining(service); got != minTime {
			assert.Equal(t, got, minTime)
		}
		if got := TooLate(whole, service); got != (whole < minTime) {
			assert.Equal(t, got, whole < minTime)
		}

		refused := Refusal{Code: codes[random.IntN(len(codes))].Code, RetryAfter: spent, Constrained: random.IntN(4) == 0}
		sample := random.Float64()
		want := refused.RetryAfter
		if refused.Code.NotRun() && target != 0 && !refused.Constrained && refused.Code != result.CallNotRunQuarantined && refused.Code != result.CallRateLimited {
			fraction := 0.15 + (0.6-0.15)*sample
			want = time.Duration(fraction * float64(uint32(target.Milliseconds())) * float64(time.Millisecond))
			if refused.Code == result.CallNotRunShed && spent > 0 {
				want = min(want, time.Duration((1+sample)*float64(spent)))
			}
		}
		if got := RetryAfter(refused, target, sample); got != want {
			assert.Equal(t, got, want)
		}
	}
}

// Checks that more calls are answered in time if their callers retry soon, while instances shed
// half of the calls regardless of load.
func TestCallersOfShedCallsReturnInTime(t *testing.T) {
	const calls, tries, shedPart = 20_000, 3, 0.55
	const target, work, workSpread = 500 * time.Millisecond, 140 * time.Millisecond, 0.7
	inTime := func(retryAfter time.Duration) float64 {
		random := rand.New(rand.NewPCG(5, 6))
		count := 0
		for range calls {
			spent := time.Duration(0)
			for range tries {
				if random.Float64() < shedPart {
					spent += RetryAfter(Refusal{Code: result.CallNotRunShed, RetryAfter: retryAfter}, target, random.Float64())
					continue
				}
				spent += time.Duration(float64(work) * math.Exp(workSpread*random.NormFloat64()))
				if spent <= target {
					count++
				}
				break
			}
		}
		return float64(count) / calls
	}
	late, soon := inTime(0), inTime(20*time.Millisecond)
	t.Logf("in time: %.3f without a time named, %.3f with a short one", late, soon)
	assert.Assert(t, soon > late)
}
