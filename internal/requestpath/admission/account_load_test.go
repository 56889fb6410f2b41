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

// routeLoad is the load of one route in the simulation. perSecond is the rate of its calls over all
// accounts.
type routeLoad struct {
	priority     uint32
	work, target time.Duration
	perSecond    float64
}

// outcomes counts the calls that arrived, that were answered, and that were answered within their
// target.
type outcomes struct{ arrived, answered, inTime int }

func (o outcomes) servedFraction() float64 { return float64(o.answered) / float64(max(o.arrived, 1)) }
func (o outcomes) inTimeFraction() float64 { return float64(o.inTime) / float64(max(o.arrived, 1)) }

// loadSimulation simulates the calls of many accounts at one instance.
type loadSimulation struct {
	queue  *admission.Queue
	routes []routeLoad
	// callShares holds the fraction of the calls that each account makes.
	callShares map[string]float64

	// mutex protects the fields below.
	mutex     sync.Mutex
	byRoute   []outcomes
	byAccount map[string]outcomes
}

// run generates the load for the given duration and waits for the last call.
func (p *loadSimulation) run(duration time.Duration, seed uint64) {
	p.byRoute, p.byAccount = make([]outcomes, len(p.routes)), map[string]outcomes{}
	until := time.Now().Add(duration)
	var callers sync.WaitGroup
	for account, share := range p.callShares {
		for route, shape := range p.routes {
			random := rand.New(rand.NewPCG(seed, uint64(len(account))<<32+uint64(route)))
			for _, letter := range account {
				random = rand.New(rand.NewPCG(random.Uint64(), uint64(letter)))
			}
			callers.Go(func() { p.callAtRandom(&callers, account, route, shape.perSecond*share, until, random) })
		}
	}
	callers.Wait()
}

// callAtRandom makes calls with exponentially distributed gaps.
func (p *loadSimulation) callAtRandom(callers *sync.WaitGroup, account string, route int, perSecond float64, until time.Time, random *rand.Rand) {
	for {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if time.Now().After(until) {
			return
		}
		work := time.Duration((0.5 + random.Float64()) * float64(p.routes[route].work))
		callers.Go(func() { p.call(account, route, work) })
	}
}

func (p *loadSimulation) call(account string, route int, work time.Duration) {
	shape, arrived := p.routes[route], time.Now()
	headroom := shape.target - shape.work
	slot, err := p.queue.Acquire(context.Background(), admission.Request{
		Group: account, HasAccount: true, Priority: shape.priority, Headroom: headroom, Due: arrived.Add(headroom), MaxWait: headroom / 2,
	})
	outcome := outcomes{arrived: 1}
	if err == nil {
		time.Sleep(work)
		slot.Release(false)
		outcome.answered = 1
	}
	if err == nil && time.Since(arrived) <= shape.target {
		outcome.inTime = 1
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.byRoute[route] = p.byRoute[route].plus(outcome)
	p.byAccount[account] = p.byAccount[account].plus(outcome)
}

func (o outcomes) plus(other outcomes) outcomes {
	return outcomes{o.arrived + other.arrived, o.answered + other.answered, o.inTime + other.inTime}
}

// hotAccount makes a multiple of its usual calls in some simulations.
const hotAccount = "large-0"

// manyAccounts returns 6 large accounts, which make 60 percent of the calls, and 74 small ones.
func manyAccounts() (callShares map[string]float64, weights map[string]uint32) {
	const large, small, largeShare = 6, 74, 0.6
	callShares, weights = map[string]float64{}, map[string]uint32{}
	for number := range large {
		name := fmt.Sprint("large-", number)
		callShares[name], weights[name] = largeShare/large, 100
	}
	for number := range small {
		name := fmt.Sprint("small-", number)
		callShares[name], weights[name] = (1-largeShare)/small, 6
	}
	return callShares, weights
}

// simulateAccounts simulates short urgent calls and long calls with late targets, which together
// use the full capacity of an instance, while hotAccount makes hotFactor times its usual calls.
// With fairnessFirst, shares go before urgency, as without accounts.
func simulateAccounts(t *testing.T, fairnessFirst bool, hotFactor float64, seed uint64) *loadSimulation {
	const slots = 9
	callShares, weights := manyAccounts()
	callShares[hotAccount] *= hotFactor
	current := &loadSimulation{callShares: callShares, routes: []routeLoad{
		{priority: 0, work: 90 * time.Millisecond, target: 250 * time.Millisecond, perSecond: 30},
		{priority: 1, work: 60 * time.Millisecond, target: 200 * time.Millisecond, perSecond: 30},
		{priority: 2, work: 550 * time.Millisecond, target: 3 * time.Second, perSecond: 8},
	}}
	synctest.Test(t, func(*testing.T) {
		current.queue = admission.NewQueue(admission.Limits{Slots: slots, QueueLength: 64, QueueTime: 250 * time.Millisecond}, time.Now)
		current.queue.ConfigureAccounts(slots, weights)
		if fairnessFirst {
			current.queue.Configure(slots, weights)
		}
		current.run(12*time.Second, seed)
	})
	return current
}

// all sums the outcomes of the accounts for which of returns true.
func (p *loadSimulation) all(of func(account string) bool) (sum outcomes) {
	for account, outcome := range p.byAccount {
		if of(account) {
			sum = sum.plus(outcome)
		}
	}
	return sum
}

// Checks that the most urgent calls get slots regardless of their account, that an account with a
// multiple of its usual calls bears the consequences, and that no account is starved: each is
// served at least a quarter as often as the average.
func TestUrgentCallsOfManyAccountsAreServedFirst(t *testing.T) {
	const minCalls = 20 // Smaller samples of an account are not significant.
	for _, hotFactor := range []float64{1, 4.5} {
		for seed := range uint64(2) {
			baseline, current := simulateAccounts(t, true, hotFactor, seed), simulateAccounts(t, false, hotFactor, seed)
			others := current.all(func(account string) bool { return account != hotAccount })
			all := current.all(func(string) bool { return true })
			for name, simulation := range map[string]*loadSimulation{"shares first": baseline, "urgency first": current} {
				t.Logf("calls of one account x%g, %s: in time by urgency %.3f %.3f %.3f, the account %.3f",
					hotFactor, name, simulation.byRoute[0].inTimeFraction(), simulation.byRoute[1].inTimeFraction(), simulation.byRoute[2].inTimeFraction(), simulation.byAccount[hotAccount].inTimeFraction())
			}
			assert.Check(t, current.byRoute[0].inTimeFraction() > baseline.byRoute[0].inTimeFraction())
			if hotFactor > 1 {
				assert.Check(t, current.byAccount[hotAccount].inTimeFraction() < others.inTimeFraction())
			}
			for account, outcome := range current.byAccount {
				assert.Check(t, outcome.arrived < minCalls || outcome.servedFraction() >= all.servedFraction()/4, "account %s: %+v", account, outcome)
			}
		}
	}
}
