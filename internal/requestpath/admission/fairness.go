package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// usageHalfLife is the half-life of the recorded slot time. If it is too short, the slot time of a
	// call decays while the call still runs; if it is too long, a group that did not use its share for
	// a while has precedence for too long afterwards.
	usageHalfLife = 500 * time.Millisecond
	// defaultWeight is the weight of a group without a declared share, in percent. It is above 0,
	// or the group would never be served.
	defaultWeight = 1
)

// group is the state of one group of callers.
type group struct {
	name string
	// isAccount is true if the group is an account.
	isAccount bool
	// usage is the decayed slot time used, in slot seconds, as of usageAt.
	usage       float64
	usageAt     time.Time
	running     int
	interactive *list.List
	background  *list.List
}

// active reports whether the group has running or waiting calls.
func (g *group) active() bool {
	return g.running > 0 || g.interactive.Len() > 0 || g.background.Len() > 0
}

func (g *group) queueOf(request Request) *list.List {
	if request.Background {
		return g.background
	}
	return g.interactive
}

// decay updates usage to now: past usage decays with usageHalfLife, and the time of the running
// calls is added.
func (g *group) decay(now time.Time) {
	elapsed := now.Sub(g.usageAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(usageHalfLife))
	g.usage = g.usage*factor + float64(g.running)*elapsed.Seconds()
	g.usageAt = now
}

// groupKey identifies a group. An account may have the same name as a group of calls without one.
type groupKey struct {
	name      string
	isAccount bool
}

// groupOf returns the group of a request and creates it if necessary.
func (q *Queue) groupOf(request Request) *group {
	key := groupKey{name: request.Group, isAccount: request.HasAccount}
	g, ok := q.groups[key]
	if !ok {
		g = &group{name: request.Group, isAccount: request.HasAccount, usageAt: q.now(), interactive: list.New(), background: list.New()}
		q.groups[key] = g
	}
	return g
}

func (q *Queue) weightOf(name string) float64 {
	if weight, ok := q.weights[name]; ok {
		return float64(weight)
	}
	return defaultWeight
}

// shareOf returns the group's share of the slots, 0 to 1, among the currently active groups.
func (q *Queue) shareOf(g *group) float64 {
	total := 0.0
	for _, other := range q.groups {
		if other == g || other.active() {
			total += q.weightOf(other.name)
		}
	}
	return q.weightOf(g.name) / total
}

// next returns the call that gets a free slot, or nil. It belongs to the group with the least slot
// time per weight among the groups with a call that may run; ties are broken by name. Slots that a
// group does not use thus go to other groups without a separate rule: when the group has calls
// again, it has little recorded slot time and goes first.
func (q *Queue) next(now time.Time) *waiter {
	if q.accounts {
		return q.nextAmongAccounts(now)
	}
	var best *waiter
	bestScore := math.Inf(1)
	for _, g := range q.groups {
		candidate := q.firstRunnable(g, now)
		if candidate == nil {
			continue
		}
		g.decay(now)
		score := g.usage / q.weightOf(g.name)
		if score < bestScore || (score == bestScore && g.name < best.request.Group) {
			best = candidate
			bestScore = score
		}
	}
	return best
}

// firstRunnable returns the first waiting call of a group that may run: interactive calls before
// background calls, then in the order of Request.before.
func (q *Queue) firstRunnable(g *group, now time.Time) *waiter {
	if first := q.firstIn(g.interactive, now); first != nil {
		return first
	}
	return q.firstIn(g.background, now)
}

// firstIn returns the first call of a list in the order of Request.before that may run, or nil.
func (q *Queue) firstIn(waiting *list.List, now time.Time) (first *waiter) {
	for element := waiting.Front(); element != nil; element = element.Next() {
		candidate := element.Value.(*waiter)
		if q.mayRun(candidate.request, now) && (first == nil || candidate.request.before(&first.request, now)) {
			first = candidate
		}
	}
	return first
}

// countAhead counts the waiting calls that go before a request that arrives now.
func countAhead(waiting *list.List, request Request, now time.Time) int {
	count := 0
	for element := waiting.Front(); element != nil; element = element.Next() {
		if !request.before(&element.Value.(*waiter).request, now) {
			count++
		}
	}
	return count
}
