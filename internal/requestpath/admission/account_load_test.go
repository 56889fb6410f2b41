package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// kindOfCall is a route in a played load; all accounts make perSecond calls of it together.
type kindOfCall struct {
	priority     uint32
	work, target time.Duration
	perSecond    float64
}

// outcomes counts calls: those that came, were answered at all, and within their target.
type outcomes struct{ came, answered, inTime int }

func (o outcomes) served() float64   { return float64(o.answered) / float64(max(o.came, 1)) }
func (o outcomes) punctual() float64 { return float64(o.inTime) / float64(max(o.came, 1)) }

// loadPlay plays the calls of many accounts at one instance.
type loadPlay struct {
	queue *admission.Queue
	kinds []kindOfCall
	// parts are the accounts' parts of the calls.
	parts map[string]float64

	// mutex protects the counts.
	mutex     sync.Mutex
	byKind    []outcomes
	byAccount map[string]outcomes
}

// run plays the load for a time and waits for the last call.
func (p *loadPlay) run(lasts time.Duration, seed uint64) {
	p.byKind, p.byAccount = make([]outcomes, len(p.kinds)), map[string]outcomes{}
	until := time.Now().Add(lasts)
	var callers sync.WaitGroup
	for account, part := range p.parts {
		for kind, shape := range p.kinds {
			random := rand.New(rand.NewPCG(seed, uint64(len(account))<<32+uint64(kind)))
			for _, letter := range account {
				random = rand.New(rand.NewPCG(random.Uint64(), uint64(letter)))
			}
			callers.Go(func() { p.callAtRandom(&callers, account, kind, shape.perSecond*part, until, random) })
		}
	}
	callers.Wait()
}

// callAtRandom makes calls with exponential gaps.
func (p *loadPlay) callAtRandom(callers *sync.WaitGroup, account string, kind int, perSecond float64, until time.Time, random *rand.Rand) {
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(until) {
			return
		}
		work := time.Duration((0.5 + random.Float64()) * float64(p.kinds[kind].work))
		callers.Go(func() { p.call(account, kind, work) })
	}
}

func (p *loadPlay) call(account string, kind int, work time.Duration) {
	shape, came := p.kinds[kind], time.Now()
	headroom := shape.target - shape.work
	slot, err := p.queue.Acquire(context.Background(), admission.Request{
		Group: account, HasAccount: true, Priority: shape.priority, Headroom: headroom, Due: came.Add(headroom), MaxWait: headroom / 2,
	})
	seen := outcomes{came: 1}
	if err == nil {
		time.Sleep(work)
		slot.Release(false)
		seen.answered = 1
	}
	if err == nil && time.Since(came) <= shape.target {
		seen.inTime = 1
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.byKind[kind] = p.byKind[kind].plus(seen)
	p.byAccount[account] = p.byAccount[account].plus(seen)
}

func (o outcomes) plus(other outcomes) outcomes {
	return outcomes{o.came + other.came, o.answered + other.answered, o.inTime + other.inTime}
}

// hotAccount makes many times its usual calls in some plays.
const hotAccount = "large-0"

// manyAccounts are 6 large accounts, with six tenths of the calls together, and 74 small ones.
func manyAccounts() (parts map[string]float64, weights map[string]uint32) {
	const large, small, largePart = 6, 74, 0.6
	parts, weights = map[string]float64{}, map[string]uint32{}
	for number := range large {
		name := fmt.Sprint("large-", number)
		parts[name], weights[name] = largePart/large, 100
	}
	for number := range small {
		name := fmt.Sprint("small-", number)
		parts[name], weights[name] = (1-largePart)/small, 6
	}
	return parts, weights
}

// playAccounts plays short urgent calls and long ones with much time, together all that an instance
// can do, while hotAccount makes hotFactor times its calls. sharesFirst has the groups' shares go
// before urgency, as without accounts.
func playAccounts(t *testing.T, sharesFirst bool, hotFactor float64, seed uint64) *loadPlay {
	const slots = 9
	parts, weights := manyAccounts()
	parts[hotAccount] *= hotFactor
	played := &loadPlay{parts: parts, kinds: []kindOfCall{
		{priority: 0, work: 90 * time.Millisecond, target: 250 * time.Millisecond, perSecond: 30},
		{priority: 1, work: 60 * time.Millisecond, target: 200 * time.Millisecond, perSecond: 30},
		{priority: 2, work: 550 * time.Millisecond, target: 3 * time.Second, perSecond: 8},
	}}
	synctest.Test(t, func(*testing.T) {
		played.queue = admission.NewQueue(admission.Limits{Slots: slots, QueueLength: 64, QueueTime: 250 * time.Millisecond}, time.Now)
		played.queue.ConfigureAccounts(slots, weights)
		if sharesFirst {
			played.queue.Configure(slots, weights)
		}
		played.run(12*time.Second, seed)
	})
	return played
}

// all sums the accounts that meet a condition.
func (p *loadPlay) all(of func(account string) bool) (sum outcomes) {
	for account, seen := range p.byAccount {
		if of(account) {
			sum = sum.plus(seen)
		}
	}
	return sum
}

// The most urgent calls get their slots whichever account they are of, an account that makes many
// times its calls pays for them, and none is starved: each is served at least a quarter as often as
// all are.
func TestUrgentCallsOfManyAccountsAreServedFirst(t *testing.T) {
	const fewestCalls = 20 // Fewer calls of an account say nothing about it.
	for _, hotFactor := range []float64{1, 4.5} {
		for seed := range uint64(2) {
			former, played := playAccounts(t, true, hotFactor, seed), playAccounts(t, false, hotFactor, seed)
			others := played.all(func(account string) bool { return account != hotAccount })
			all := played.all(func(string) bool { return true })
			for name, play := range map[string]*loadPlay{"shares first": former, "urgency first": played} {
				t.Logf("calls of one account x%g, %s: in time by urgency %.3f %.3f %.3f, the account %.3f",
					hotFactor, name, play.byKind[0].punctual(), play.byKind[1].punctual(), play.byKind[2].punctual(), play.byAccount[hotAccount].punctual())
			}
			assert.Check(t, played.byKind[0].punctual() > former.byKind[0].punctual())
			if hotFactor > 1 {
				assert.Check(t, played.byAccount[hotAccount].punctual() < others.punctual())
			}
			for account, seen := range played.byAccount {
				assert.Check(t, seen.came < fewestCalls || seen.served() >= all.served()/4, "account %s: %+v", account, seen)
			}
		}
	}
}
