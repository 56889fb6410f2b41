package admission

import (
	"cmp"
	"container/list"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Where callers have accounts, each account is a group, and the calls of all of them wait in one
// order: priorities come first, so that a call never goes before one of a more urgent route because
// its account used less, and of calls of the same priority those of an account that takes more than its
// share go last. Waits and bounds count what goes before a call, whichever account that is of:
// with many small accounts a bound for each would bound nothing together, and an estimate by the
// share of one would refuse calls that nothing goes before.

// ConfigureAccounts replaces the number of slots and has the groups be accounts with these weights;
// an account without one counts as defaultWeight.
func (q *Queue) ConfigureAccounts(slots int, weights map[string]uint32) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit.configure(slots)
	q.weights = weights
	q.accounts = true
	q.dispatch()
}

// occupation is what the active accounts have together.
type occupation struct {
	// weight is the sum of their weights, and used that of their decayed slot time, in slot
	// seconds.
	weight, used float64
	// usualCall is the slot time of one call, in slot seconds.
	usualCall float64
}

// occupation sums the active accounts up to now; the caller holds mutex.
func (q *Queue) occupation(now time.Time) occupation {
	total := occupation{usualCall: q.meanService.Seconds()}
	for _, g := range q.groups {
		if !g.isAccount || !g.active() {
			continue
		}
		g.decay(now)
		total.weight += q.weightOf(g.name)
		total.used += g.usage
	}
	return total
}

// excessOf returns how far an active account's slot time is above its share, in steps of a factor of
// two, 0 for not at all. One usual call beside the share counts for nothing, since the share of a
// small account is less than that.
func (o occupation) excessOf(used, weight float64) int {
	share := o.used*weight/o.weight + o.usualCall
	if used <= share {
		return 0
	}
	return bits.Len64(uint64(min(used/share, math.MaxInt32)))
}

// candidate is a waiting call with what its place in the order of the accounts depends on.
type candidate struct {
	*waiter
	// excess is that of its account (excessOf).
	excess int
}

// compare returns below 0 where the call goes before the other one, and above 0 where it goes
// after it.
//
// Conditions, in this order:
//
//  1. the priority of the account, the more urgent first;
//  2. interactive calls before background ones;
//  3. the priority of the call;
//  4. how far its account is above its share: before lateness, or an account that keeps sending
//     would have its new calls go before those of others that wait since it fills the slots;
//  5. what else makes a call urgent (Request.compareUrgency);
//  6. due time, the earliest first;
//  7. arrival.
func (c candidate) compare(other candidate, now time.Time) int {
	first, second := &c.request, &other.request
	return cmp.Or(
		cmp.Compare(first.AccountPriority, second.AccountPriority),
		falseFirst(first.Background, second.Background),
		cmp.Compare(first.Priority, second.Priority),
		cmp.Compare(c.excess, other.excess),
		first.compareUrgency(second, now),
		first.Due.Compare(second.Due),
		cmp.Compare(c.sequence, other.sequence),
	)
}

// candidates returns the waiting calls of all accounts, in no order; the caller holds mutex.
func (q *Queue) candidates(now time.Time) []candidate {
	total := q.occupation(now)
	var candidates []candidate
	for _, g := range q.groups {
		if g.interactive.Len()+g.background.Len() == 0 {
			continue
		}
		excess := 0
		if g.isAccount {
			excess = total.excessOf(g.usage, q.weightOf(g.name))
		}
		for _, waiting := range []*list.List{g.interactive, g.background} {
			for element := waiting.Front(); element != nil; element = element.Next() {
				candidates = append(candidates, candidate{waiter: element.Value.(*waiter), excess: excess})
			}
		}
	}
	return candidates
}

// nextOfAccounts returns the call that gets a free slot, nil for none.
func (q *Queue) nextOfAccounts(now time.Time) *waiter {
	var best candidate
	for _, waiting := range q.candidates(now) {
		if !q.mayRun(waiting.request, now) {
			continue
		}
		if best.waiter == nil || waiting.compare(best, now) < 0 {
			best = waiting
		}
	}
	return best.waiter
}

// queueAmongAccounts is queueOrRefuse where callers have accounts. A call that enters may take the
// place of less urgent ones: those that can no longer be served in their time, or for which the
// queue is too long, are refused now and not when their time is over.
func (q *Queue) queueAmongAccounts(request Request, now time.Time) (*waiter, error) {
	entered := q.push(request, now)
	ranked := q.candidates(now)
	slices.SortFunc(ranked, func(a, b candidate) int { return a.compare(b, now) })
	entered.place = placeOf(entered, ranked)
	expected := q.waitBehind(entered.place.ahead, now)
	verdict, deadline := decideWait(request, entered.place.ahead, expected, q.limits, now)
	entered.deadline = deadline
	switch verdict {
	case actionRefuseNoSlot:
		q.remove(entered)
		return nil, q.refuse(expected, "no slot is free", entered.place)
	case actionRefuseFull:
		q.remove(entered)
		return nil, q.refuse(expected, "more urgent calls leave it no time", entered.place)
	}
	q.refuseHopeless(ranked, now)
	q.dispatch()
	return entered, nil
}

// placeOf returns the place of a call among those that wait, in their order.
func placeOf(waiting *waiter, ranked []candidate) place {
	ahead := slices.IndexFunc(ranked, func(other candidate) bool { return other.waiter == waiting })
	if ahead == 0 {
		return place{}
	}
	return place{ahead: ahead, behind: &ranked[ahead-1].request}
}

// refuseHopeless refuses the waiting calls that the others, in their order, leave no time or no
// place, the least urgent first; the caller holds mutex.
func (q *Queue) refuseHopeless(ranked []candidate, now time.Time) {
	for ahead := len(ranked) - 1; ahead >= 0; ahead-- {
		waiting := ranked[ahead].waiter
		expected := q.waitBehind(ahead, now)
		if ahead < q.limits.QueueLength && expected.longest() <= waiting.deadline.Sub(now) {
			continue
		}
		q.remove(waiting)
		waiting.outcome <- q.refuse(expected, "more urgent calls came after it", placeOf(waiting, ranked))
	}
}

// waitBehind estimates how long a call waits that so many others of any account go before.
func (q *Queue) waitBehind(ahead int, now time.Time) waitEstimate {
	return waitEstimate{
		forSlot:  slotWait(q.meanService, ahead, float64(q.limit.current)),
		forToken: q.bucket.wait(ahead, now),
	}
}
