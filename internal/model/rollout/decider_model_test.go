package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The model: two deciders of the same rank, one of which wants EndCompleted because all daemons
// have moved, while the other wants EndRolledBack because the version is bad. They write to a store
// that loses answers, does writes late or never, and shows its state at any time. The test explores
// every interleaving of their actions.

// modelWrites limits the writes in progress, including those given up.
const modelWrites = 4

// modelStates limits the explored states; the test fails if the model reaches it.
const modelStates = 300_000

// modelWrite is a write in progress; alone is true once its decider has given it up.
type modelWrite struct {
	write Write
	by    int
	alone bool
}

// modelWorld is one state of the model.
type modelWorld struct {
	now         time.Time
	storedOrder Order
	final       End
	deciders    [2]Decider
	wants       [2]End
	writes      []modelWrite
	// back is true once the moved daemon next to a decider sends to the old version again.
	back [2]bool
}

// modelRules selects the faults of the implementation under test.
type modelRules struct {
	// unfenced: writes ignore the revision. eager: daemons revert without the stored end.
	unfenced, eager bool
}

func newModelWorld() modelWorld {
	order := Order{Service: "desk", Identity: Identity{Created: 3, Target: "v2", Duration: 30 * time.Second}, Revision: 4,
		Status: Status{End: EndRunning, Target: "v2"}}
	return modelWorld{
		now: time.Unix(1000, 0), storedOrder: order, deciders: [2]Decider{NewDecider(order), NewDecider(order)},
		wants: [2]End{EndCompleted, EndRolledBack},
	}
}

// clone returns an independent copy with an advanced clock.
func (w modelWorld) clone() modelWorld {
	w.writes = slices.Clone(w.writes)
	w.now = w.now.Add(StoreRetryDelay)
	return w
}

// key identifies the state without its clock.
func (w modelWorld) key() string {
	text := fmt.Sprint(w.storedOrder, w.final, w.wants, w.back)
	for _, decider := range w.deciders {
		text += fmt.Sprint(decider.order, decider.gone, decider.writing)
	}
	for _, write := range w.writes {
		text += fmt.Sprint(write)
	}
	return text
}

// apply does a write in the store and returns the outcome; broken is true if it replaced a final
// end by another one.
func (w *modelWorld) apply(write Write, rules modelRules) (outcome Outcome, broken bool) {
	if write.Revision != w.storedOrder.Revision && !rules.unfenced {
		return OutcomeConflict, false
	}
	w.storedOrder.Revision++
	w.storedOrder.Status = write.Status
	broken = w.final != "" && w.final != w.storedOrder.End()
	if w.storedOrder.End().Final() {
		w.final = w.storedOrder.End()
	}
	return OutcomeDone, broken
}

// follow updates the daemons next to the deciders.
func (w *modelWorld) follow(rules modelRules) {
	for index := range w.deciders {
		stored := w.deciders[index].order.End() == EndRolledBack
		w.back[index] = w.back[index] || stored || (rules.eager && w.wants[index] == EndRolledBack)
	}
}

// broken returns the violated invariant of the state, or an empty string.
func (w *modelWorld) broken() string {
	for index, decider := range w.deciders {
		if decider.order.End().Final() && decider.order.End() != w.final {
			return "a decider holds a final end that differs from the store's"
		}
		if w.back[index] && w.final == EndCompleted {
			return "a daemon sends to instances that were stopped"
		}
	}
	return ""
}

// answer delivers the outcome of a write to its decider.
func (w *modelWorld) answer(write modelWrite, outcome Outcome) {
	answer := Answer{Write: write.write, Outcome: outcome}
	if outcome != OutcomeUnknown {
		seen := w.storedOrder
		answer.Seen = &seen
	}
	w.deciders[write.by].Answered(w.now, answer)
}

// nexts returns the states that one action leads to.
func (w modelWorld) nexts(rules modelRules) (states []modelWorld, broken string) {
	add := func(next modelWorld) { states = append(states, next) }
	for index := range w.deciders {
		next := w.clone()
		if write, due := next.deciders[index].Want(next.now, next.wants[index], 0); due && len(w.writes) < modelWrites {
			next.writes = append(next.writes, modelWrite{write: write, by: index})
			add(next)
		}
		next = w.clone()
		seen := next.storedOrder
		next.deciders[index].Observe(&seen)
		add(next)
	}
	if w.wants[0] == EndCompleted {
		next := w.clone()
		next.wants[0] = EndRolledBack
		add(next)
	}
	for index, write := range w.writes {
		for _, action := range []string{"done", "lost", "late", "never"} {
			next := w.clone()
			if fault := next.end(index, write, action, rules); fault != "" {
				return nil, fault
			}
			add(next)
		}
	}
	return states, ""
}

// end ends a write by one of four actions: done and answered, done without an answer ("lost"),
// given up but possibly done later ("late"), or never done.
func (w *modelWorld) end(index int, write modelWrite, action string, rules modelRules) (fault string) {
	if action == "late" {
		if !write.alone {
			w.answer(write, OutcomeUnknown)
		}
		w.writes[index].alone = true
		return ""
	}
	w.writes = slices.Delete(w.writes, index, index+1)
	outcome := OutcomeUnknown
	if action != "never" {
		applied, overwritten := w.apply(write.write, rules)
		if overwritten {
			return "a final end was overwritten"
		}
		if action == "done" {
			outcome = applied
		}
	}
	if !write.alone {
		w.answer(write, outcome)
	}
	return ""
}

// explore visits all states and returns the first violation and the number of states.
func explore(rules modelRules) (fault string, states int) {
	seen := map[string]bool{}
	layer := []modelWorld{newModelWorld()}
	for len(layer) > 0 && len(seen) < modelStates {
		var following []modelWorld
		for _, world := range layer {
			nexts, broken := world.nexts(rules)
			if broken != "" {
				return broken, len(seen)
			}
			for _, next := range nexts {
				next.follow(rules)
				if fault := next.broken(); fault != "" {
					return fault, len(seen)
				}
				if key := next.key(); !seen[key] {
					seen[key] = true
					if !next.settles() {
						return "the order does not reach a final end", len(seen)
					}
					following = append(following, next)
				}
			}
		}
		layer = following
	}
	return "", len(seen)
}

// settles reports whether all deciders agree on one end once the store works again.
func (w modelWorld) settles() bool {
	const rounds = 6
	for range rounds {
		w = w.clone()
		for index := range w.deciders {
			if write, due := w.deciders[index].Want(w.now, w.wants[index], 0); due {
				w.writes = append(w.writes, modelWrite{write: write, by: index})
			}
		}
		for len(w.writes) > 0 {
			_ = w.end(0, w.writes[0], "done", modelRules{})
		}
	}
	return w.final != "" && w.deciders[0].order.End() == w.final && w.deciders[1].order.End() == w.final
}

func TestEveryInterleavingOfTwoDecidersComesToOneEnd(t *testing.T) {
	fault, states := explore(modelRules{})
	assert.Equal(t, fault, "")
	t.Logf("FIGURES %d states", states)
	assert.Assert(t, states > 1000 && states < modelStates, "%d states", states)
}

func TestModelCatchesWritesWithoutFence(t *testing.T) {
	fault, _ := explore(modelRules{unfenced: true})
	assert.Assert(t, fault != "")
}

func TestModelCatchesStepsTakenBack(t *testing.T) {
	fault, _ := explore(modelRules{eager: true})
	assert.Equal(t, fault, "a daemon sends to instances that were stopped")
}
