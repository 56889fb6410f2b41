package retry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The reference implements the rule as part of the attempts at a call, with counters that change
// while it decides and a budget that it spends itself.

// Limits of the reference.
const (
	referenceNotReached  = 5
	referenceNoCapacity  = 2
	referenceMaxAttempts = 3
)

// referenceCall is a call with the counters of its attempts.
type referenceCall struct {
	repeatable  bool
	attempt     uint32
	maxAttempts int
	budget      *Budget

	notReached, noCapacity, seen, deliveries int
}

// referenceFailure is a failed attempt. ended is the number of crashes that the error reports, and
// known the number that the quarantine has recorded for the keys of the call.
type referenceFailure struct {
	code                                     result.Code
	coded, over, replayable, delivery, begun bool
	ended, known                             int
	keyed                                    bool
}

func (c *referenceCall) mayRetry(failure referenceFailure) bool {
	if !failure.coded || failure.over || !failure.replayable {
		return false
	}
	switch failure.code {
	case result.CallNotRunDraining, result.CallNotRunStopping, result.CallNotRunUnknownHere, result.CallNotRunUnreachable,
		result.CallNotRunEvacuated, result.CallNotRunRegion, result.CallNotRunLimited:
		c.notReached++
		return c.notReached <= referenceNotReached
	case result.CallNotRunOverloaded, result.CallNotRunCold:
		c.noCapacity++
		return c.noCapacity <= referenceNoCapacity
	case result.CallNotRunShed:
		c.seen++
		return c.seen < c.attemptLimit() && c.mayAddLoad()
	case result.CallUnknownOutcome, result.CallTruncated, result.CallInstanceCrashed:
		c.seen++
		return c.repeatable && c.mayRepeat(failure) && c.seen < c.attemptLimit() && c.mayAddLoad()
	default:
		return false
	}
}

func (c *referenceCall) attemptLimit() int {
	if c.maxAttempts > 0 {
		return c.maxAttempts
	}
	return referenceMaxAttempts
}

func (c *referenceCall) mayAddLoad() bool { return c.attempt == 0 && c.budget.Spend("s", FirstTry) }

func (c *referenceCall) mayRepeat(failure referenceFailure) bool {
	if !quarantine.MayRetry(failure.ended) {
		return false
	}
	return !failure.keyed || quarantine.MayRetry(failure.known)
}

// again reports whether a failed attempt, or a failed delivery of its answer, is retried.
func (c *referenceCall) again(failure referenceFailure) bool {
	if !failure.delivery {
		return c.mayRetry(failure)
	}
	tries := c.deliveries
	c.deliveries++
	return !failure.begun && tries < referenceMaxAttempts-1 && c.mayRetry(failure)
}

// randomFailure returns a random failure. Conditions that end a call at once are rare, so that
// calls have many failures.
func randomFailure(random *rand.Rand, codes []result.Code) referenceFailure {
	rarely := func() bool { return random.IntN(20) == 0 }
	delivery := random.IntN(4) == 0
	return referenceFailure{
		code: codes[random.IntN(len(codes))], coded: !rarely(), over: rarely(), replayable: !rarely(),
		delivery: delivery, begun: delivery && rarely(),
		ended: random.IntN(3), known: random.IntN(3), keyed: random.IntN(2) == 0,
	}
}

// failureOf converts a failure in the same way as the gateway.
func failureOf(generated referenceFailure) Failure {
	failure := Failure{
		Reason: ReasonOf(generated.code), CallDone: generated.over, BodyConsumed: !generated.replayable,
		ResponseInterrupted: generated.delivery, AnswerBegun: generated.begun, Crashes: generated.ended,
	}
	if !generated.coded {
		failure.Reason = Final
	}
	if generated.keyed {
		failure.Crashes = max(failure.Crashes, generated.known)
	}
	return failure
}

// weightedCodes returns all result codes, with the retryable ones repeated so that they make up
// half of the list.
func weightedCodes() []result.Code {
	var codes, again []result.Code
	for _, entry := range result.Table() {
		codes = append(codes, entry.Code)
		if ReasonOf(entry.Code) != Final {
			again = append(again, entry.Code)
		}
	}
	for len(again) > 0 && len(codes) < 2*len(result.Table()) {
		codes = append(codes, again...)
	}
	return codes
}

// Checks that calls with random failures get the same decisions as from the reference, and that
// both budgets are spent equally.
func TestDecisionsAreThoseOfTheReference(t *testing.T) {
	const calls = 200_000
	random := rand.New(rand.NewPCG(1, 2))
	codes := weightedCodes()
	limits := Limits{Fraction: 0.4, Burst: 20}
	actual, expected := NewBudget(limits), NewBudget(limits)
	decisions, repeats := 0, 0
	for range calls {
		call := Call{Repeatable: random.IntN(3) > 0, MaxAttempts: random.IntN(6), ChainRetries: uint32(random.IntN(5) / 4)}
		reference := &referenceCall{repeatable: call.Repeatable, attempt: call.ChainRetries, maxAttempts: call.MaxAttempts, budget: expected}
		counts := Counts{}
		actual.Earn("s", FirstTry)
		expected.Earn("s", FirstTry)
		for again := true; again; {
			generated := randomFailure(random, codes)
			var decision Decision
			counts, decision = Decide(call, counts, failureOf(generated))
			again = decision == RetryElsewhere || (decision == RetryWithinBudget && actual.Spend("s", FirstTry))
			want := reference.again(generated)
			// Assertions run only on a mismatch, because they would take most of the time for this
			// many inputs.
			if again != want || actual.Remaining("s") != expected.Remaining("s") {
				assert.Equal(t, again, want, "%+v %+v %+v", call, counts, generated)
				assert.Equal(t, actual.Remaining("s"), expected.Remaining("s"))
			}
			if again {
				assert.Assert(t, (counts.Seen > 0) == (reference.seen > 0))
				repeats++
			}
			decisions++
		}
	}
	t.Logf("%d calls, %d decisions, %d of them for another attempt", calls, decisions, repeats)
	assert.Assert(t, decisions > calls && repeats > calls/5, "%d decisions, %d for another attempt", decisions, repeats)
}

// Checks that answers are replaced and calls end as in the reference, for all inputs.
func TestAnswersAndEndingsAreThoseOfTheReference(t *testing.T) {
	const wholeAnswerBytes = 64 << 10
	bools := []bool{false, true}
	inputs := 0
	for status := uint32(100); status < 600; status++ {
		for _, length := range []int64{-1, 0, 1, wholeAnswerBytes, wholeAnswerBytes + 1} {
			for _, repeatable := range bools {
				for _, kept := range bools {
					for _, healthy := range bools {
						small := length >= 0 && length <= wholeAnswerBytes
						want := status >= callapi.FirstServerError && repeatable && !kept && small && healthy
						got := MayReplace(Call{Repeatable: repeatable}, Answer{Status: status, Length: length, Kept: kept}, func() bool { return healthy })
						assert.Equal(t, got, want, "%d %d %t %t %t", status, length, repeatable, kept, healthy)
						inputs++
					}
				}
			}
		}
	}
	for _, kept := range bools {
		for _, unknown := range bools {
			for _, notRun := range bools {
				want := KeptAnswer
				switch {
				case !kept && unknown && notRun:
					want = FirstUnknown
				case !kept:
					want = LastFailure
				}
				assert.Equal(t, EndingOf(kept, unknown, notRun), want)
				inputs++
			}
		}
	}
	t.Logf("%d inputs", inputs)
}

// referenceBudget is the budget without locks.
type referenceBudget struct {
	limits  Limits
	daemons int
	tokens  map[string]float64
}

func (b *referenceBudget) burst() float64 {
	if !b.limits.Shared {
		return b.limits.Burst
	}
	return 0.9 * b.limits.Burst / float64(b.daemons)
}

func (b *referenceBudget) fraction() float64 {
	if !b.limits.Shared {
		return b.limits.Fraction
	}
	return 0.9 * b.limits.Fraction
}

func (b *referenceBudget) earn(service string) {
	burst := b.burst()
	tokens, known := b.tokens[service]
	if !known {
		tokens = burst / 2
	}
	b.tokens[service] = min(tokens+b.fraction(), burst)
}

func (b *referenceBudget) spend(service string) bool {
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

func (b *referenceBudget) charge(service string) {
	b.tokens[service] = max(b.tokens[service]-1, -50)
}

// Checks that a budget grants and holds the same as the reference under random operations.
func TestBudgetIsThatOfTheReference(t *testing.T) {
	const steps = 500_000
	random := rand.New(rand.NewPCG(5, 6))
	actual, expected := NewBudget(DefaultLimits), &referenceBudget{limits: DefaultLimits, daemons: 1, tokens: map[string]float64{}}
	services, granted := []string{"a", "b", "c"}, 0
	for range steps {
		service := services[random.IntN(len(services))]
		switch draw := random.IntN(1000); {
		case draw < 600:
			actual.Earn(service, FirstTry)
			expected.earn(service)
		case draw < 900:
			allowed, want := actual.Spend(service, FirstTry), expected.spend(service)
			if allowed != want {
				assert.Equal(t, allowed, want)
			}
			if allowed {
				granted++
			}
		case draw < 990:
			actual.Charge(service)
			expected.charge(service)
		case draw < 995:
			limits := Limits{Fraction: random.Float64() / 2, Burst: float64(random.IntN(100)), Shared: random.IntN(2) == 0}
			actual.SetLimits(limits)
			expected.limits = limits
		default:
			daemons := random.IntN(20)
			actual.ShareAmong(daemons)
			expected.daemons = max(daemons, 1)
		}
		if left, want := actual.Remaining(service), expected.tokens[service]; left != want {
			assert.Equal(t, left, want)
		}
	}
	assert.Assert(t, granted > steps/50, "%d granted", granted)
}
