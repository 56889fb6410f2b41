package retry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The reference is the rule as a part of the attempts at a call: counters that change while it
// decides, and a budget that it spends itself.

// Bounds of the reference.
const (
	referenceNotReached  = 5
	referenceNoRoom      = 2
	referenceMaxAttempts = 3
)

// referenceCall is a call with its attempts.
type referenceCall struct {
	repeatable  bool
	attempt     uint32
	maxAttempts int
	budget      *Budget

	notReached, noRoom, seen, deliveries int
}

// referenceFailure is a failed attempt. ended is the number of crashes that the error
// states, and known the number that the quarantine knows for the call's keys.
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
		result.CallNotRunEvacuated, result.CallNotRunRegion:
		c.notReached++
		return c.notReached <= referenceNotReached
	case result.CallNotRunOverloaded, result.CallNotRunCold:
		c.noRoom++
		return c.noRoom <= referenceNoRoom
	case result.CallNotRunShed:
		c.seen++
		return c.seen < c.most() && c.mayAddLoad()
	case result.CallUnknownOutcome, result.CallTruncated, result.CallInstanceCrashed:
		c.seen++
		return c.repeatable && c.mayRepeat(failure) && c.seen < c.most() && c.mayAddLoad()
	default:
		return false
	}
}

func (c *referenceCall) most() int {
	if c.maxAttempts > 0 {
		return c.maxAttempts
	}
	return referenceMaxAttempts
}

func (c *referenceCall) mayAddLoad() bool { return c.attempt == 0 && c.budget.Spend("s") }

func (c *referenceCall) mayRepeat(failure referenceFailure) bool {
	if !quarantine.MayRepeat(failure.ended) {
		return false
	}
	return !failure.keyed || quarantine.MayRepeat(failure.known)
}

// again is what followed a failure of an attempt, or of the delivery of its answer.
func (c *referenceCall) again(failure referenceFailure) bool {
	if !failure.delivery {
		return c.mayRetry(failure)
	}
	tries := c.deliveries
	c.deliveries++
	return !failure.begun && tries < referenceMaxAttempts-1 && c.mayRetry(failure)
}

// drawFailure draws a failure; what ends a call at once is rare, so that calls have many.
func drawFailure(random *rand.Rand, codes []result.Code) referenceFailure {
	seldom := func() bool { return random.IntN(20) == 0 }
	delivery := random.IntN(4) == 0
	return referenceFailure{
		code: codes[random.IntN(len(codes))], coded: !seldom(), over: seldom(), replayable: !seldom(),
		delivery: delivery, begun: delivery && seldom(),
		ended: random.IntN(3), known: random.IntN(3), keyed: random.IntN(2) == 0,
	}
}

// failureOf states a failure as the gateway does.
func failureOf(drawn referenceFailure) Failure {
	failure := Failure{
		Reason: ReasonOf(drawn.code), CallOver: drawn.over, BodySpent: !drawn.replayable,
		InDelivery: drawn.delivery, AnswerBegun: drawn.begun, Crashes: drawn.ended,
	}
	if !drawn.coded {
		failure.Reason = Final
	}
	if drawn.keyed {
		failure.Crashes = max(failure.Crashes, drawn.known)
	}
	return failure
}

// drawnCodes are all codes, and those that are tried again once more for each place that they
// take in the table, so that they make up half of the draws.
func drawnCodes() []result.Code {
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

// Calls with generated failures are decided as by the reference, with budgets that are spent
// alike.
func TestDecisionsAreThoseOfTheReference(t *testing.T) {
	const calls = 200_000
	random := rand.New(rand.NewPCG(1, 2))
	codes := drawnCodes()
	limits := Limits{Fraction: 0.4, Burst: 20}
	ours, theirs := NewBudget(limits), NewBudget(limits)
	decisions, repeats := 0, 0
	for range calls {
		call := Call{Repeatable: random.IntN(3) > 0, MaxAttempts: random.IntN(6), ChainRetries: uint32(random.IntN(5) / 4)}
		reference := &referenceCall{repeatable: call.Repeatable, attempt: call.ChainRetries, maxAttempts: call.MaxAttempts, budget: theirs}
		counts := Counts{}
		ours.Earn("s")
		theirs.Earn("s")
		for again := true; again; {
			drawn := drawFailure(random, codes)
			var decision Decision
			counts, decision = Decide(call, counts, failureOf(drawn))
			again = decision == AgainElsewhere || (decision == AgainWithinBudget && ours.Spend("s"))
			want := reference.again(drawn)
			// Assertions that hold are left out: they take most of the time of so many inputs.
			if again != want || ours.Left("s") != theirs.Left("s") {
				assert.Equal(t, again, want, "%+v %+v %+v", call, counts, drawn)
				assert.Equal(t, ours.Left("s"), theirs.Left("s"))
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

// Answers are replaced and calls end as by the reference, for all inputs.
func TestAnswersAndEndingsAreThoseOfTheReference(t *testing.T) {
	const wholeAnswerBytes = 64 << 10
	truths := []bool{false, true}
	inputs := 0
	for status := uint32(100); status < 600; status++ {
		for _, length := range []int64{-1, 0, 1, wholeAnswerBytes, wholeAnswerBytes + 1} {
			for _, repeatable := range truths {
				for _, kept := range truths {
					for _, sound := range truths {
						small := length >= 0 && length <= wholeAnswerBytes
						want := status >= callapi.FirstServerError && repeatable && !kept && small && sound
						got := MayReplace(Call{Repeatable: repeatable}, Answer{Status: status, Length: length, Kept: kept}, func() bool { return sound })
						assert.Equal(t, got, want, "%d %d %t %t %t", status, length, repeatable, kept, sound)
						inputs++
					}
				}
			}
		}
	}
	for _, kept := range truths {
		for _, unknown := range truths {
			for _, notRun := range truths {
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
	sharers int
	tokens  map[string]float64
}

func (b *referenceBudget) burst() float64 {
	if !b.limits.Shared {
		return b.limits.Burst
	}
	return 0.9 * b.limits.Burst / float64(b.sharers)
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

// Budgets grant and hold what the reference does, whatever is asked of them in any order.
func TestBudgetIsThatOfTheReference(t *testing.T) {
	const steps = 500_000
	random := rand.New(rand.NewPCG(5, 6))
	ours, theirs := NewBudget(DefaultLimits), &referenceBudget{limits: DefaultLimits, sharers: 1, tokens: map[string]float64{}}
	services, granted := []string{"a", "b", "c"}, 0
	for range steps {
		service := services[random.IntN(len(services))]
		switch draw := random.IntN(1000); {
		case draw < 600:
			ours.Earn(service)
			theirs.earn(service)
		case draw < 900:
			may, want := ours.Spend(service), theirs.spend(service)
			if may != want {
				assert.Equal(t, may, want)
			}
			if may {
				granted++
			}
		case draw < 990:
			ours.Charge(service)
			theirs.charge(service)
		case draw < 995:
			limits := Limits{Fraction: random.Float64() / 2, Burst: float64(random.IntN(100)), Shared: random.IntN(2) == 0}
			ours.SetLimits(limits)
			theirs.limits = limits
		default:
			daemons := random.IntN(20)
			ours.ShareAmong(daemons)
			theirs.sharers = max(daemons, 1)
		}
		if left, want := ours.Left(service), theirs.tokens[service]; left != want {
			assert.Equal(t, left, want)
		}
	}
	assert.Assert(t, granted > steps/50, "%d granted", granted)
}
