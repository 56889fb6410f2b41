package retry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// The model: daemons whose gateways share the budgets of two services. A call of
// the front service runs on a random machine and mostly makes one of the back
// service from there. Answers are lost, so that both services are retried. The
// back service must not get more repeats than the platform allows, where calls
// of a repeated run count as repeats too.
const (
	modelDaemons   = 12
	modelSeconds   = 60
	modelWindow    = 10
	frontPerSecond = 297
	backPerSecond  = 85
	nestedShare    = 0.7
	lostShare      = 0.5
)

// budgetModel is one run of the model.
type budgetModel struct {
	random  *rand.Rand
	budgets []*Budget
	charged bool
	// running and repeating are runs of the front service of the last second on
	// each machine.
	running, repeating []float64
	// requests and repeats of the back service, by second.
	requests, repeats [modelSeconds]int
}

func newBudgetModel(seed uint64, charged bool) *budgetModel {
	model := &budgetModel{
		random: rand.New(rand.NewPCG(seed, 1)), charged: charged,
		running: make([]float64, modelDaemons), repeating: make([]float64, modelDaemons),
	}
	for range modelDaemons {
		budget := NewBudget(Limits{Fraction: 0.2, Burst: 64, Shared: true})
		budget.ShareAmong(modelDaemons)
		model.budgets = append(model.budgets, budget)
	}
	return model
}

// back makes a call of the back service at a gateway.
func (m *budgetModel) back(second, gateway int, byRepeat bool) {
	budget := m.budgets[gateway]
	m.requests[second]++
	budget.Earn("back")
	if byRepeat {
		m.repeats[second]++
	}
	share := m.repeating[gateway] / max(m.running[gateway], 1)
	if m.charged && m.random.Float64() < share {
		budget.Charge("back")
	}
	if m.random.Float64() < lostShare && budget.Spend("back") {
		m.repeats[second]++
	}
}

// run runs a call of the front service on a random machine.
func (m *budgetModel) run(second int, repeat bool) {
	machine := m.random.IntN(modelDaemons)
	const kept = 0.95
	m.running[machine] = kept*m.running[machine] + 1
	m.repeating[machine] *= kept
	if repeat {
		m.repeating[machine]++
	}
	if m.random.Float64() < nestedShare {
		m.back(second, machine, repeat)
	}
}

// excess plays the model and returns by how much the repeats of the worst window
// exceed what is allowed; below 0 for within.
func (m *budgetModel) excess() float64 {
	for second := range modelSeconds {
		for range frontPerSecond {
			gateway := m.random.IntN(modelDaemons)
			m.budgets[gateway].Earn("front")
			m.run(second, false)
			if m.random.Float64() < lostShare && m.budgets[gateway].Spend("front") {
				m.run(second, true)
			}
		}
		for range backPerSecond {
			m.back(second, m.random.IntN(modelDaemons), false)
		}
	}
	worst := -1e9
	for from := 0; from+modelWindow <= modelSeconds; from++ {
		requests, repeats := 0, 0
		for second := from; second < from+modelWindow; second++ {
			requests += m.requests[second]
			repeats += m.repeats[second]
		}
		worst = max(worst, float64(repeats)-0.2*float64(requests)-64)
	}
	return worst
}

// A service that another one calls got 1,700 repeats in ten seconds of 1,606 allowed: each
// service kept to its fraction, but what repeated runs of the other one called came on top.
func TestCallsOfRepeatedRunsAreChargedToTheBudget(t *testing.T) {
	for seed := range uint64(20) {
		excess := newBudgetModel(seed, true).excess()
		assert.Check(t, excess <= 0, "seed %d: %.0f repeats too many", seed, excess)
	}
}

// The model catches a budget that does not know of them.
func TestModelCatchesUnchargedCalls(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		if newBudgetModel(seed, false).excess() > 0 {
			caught++
		}
	}
	assert.Assert(t, caught > 15, "%d of 20 runs broke the budget", caught)
}
