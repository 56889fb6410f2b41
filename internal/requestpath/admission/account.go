package admission

import (
	"cmp"
	"container/list"
	"math"
	"math/bits"
	"slices"
	"time"
)

// If callers have accounts, each account is a group, and the calls of all accounts wait in one
// order. Priorities come first, so that a call never overtakes one of a more urgent route because
// its account used fewer slots. Among calls of the same priority, those of accounts above their
// share come last. Waits and limits count all calls ahead, regardless of their account: with many
// small accounts, a limit per account would not limit the total, and an estimate by the share of
// one account would refuse calls that have no other call ahead of them.

// ConfigureAccounts replaces the number of slots and makes the groups accounts with the given
// weights. An account without a weight has defaultWeight.
func (q *Queue) ConfigureAccounts(slots int, weights map[string]uint32) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit.configure(slots)
	q.weights = weights
	q.accounts = true
	q.dispatch()
}

// activeUsage holds the totals over all active accounts.
type activeUsage struct {
	// weight is the sum of their weights, and usedSlotSeconds the sum of their decayed slot time.
	weight, usedSlotSeconds float64
	// meanCallSeconds is the mean slot time of one call.
	meanCallSeconds float64
}

// activeUsage returns the totals over the accounts that are active now. The caller must hold mutex.
func (q *Queue) activeUsage(now time.Time) activeUsage {
	total := activeUsage{meanCallSeconds: q.meanService.Seconds()}
	for _, g := range q.groups {
		if !g.isAccount || !g.active() {
			continue
		}
		g.decay(now)
		total.weight += q.weightOf(g.name)
		total.usedSlotSeconds += g.usage
	}
	return total
}

// excessLevel returns how far the slot time of an active account exceeds its share, on a
// logarithmic scale of base two; 0 if it does not. One average call beyond the share is ignored,
// because the share of a small account is less than one call.
func (o activeUsage) excessLevel(usedSlotSeconds, weight float64) int {
	share := o.usedSlotSeconds*weight/o.weight + o.meanCallSeconds
	if usedSlotSeconds <= share {
		return 0
	}
	return bits.Len64(uint64(min(usedSlotSeconds/share, math.MaxInt32)))
}

// candidate is a waiting call with the inputs of its order among the accounts.
type candidate struct {
	*waiter
	// excess is the excess level of its account (excessLevel).
	excess int
}

// compare returns a negative number if the call goes before the other one, and a positive number if
// it goes after it.
//
// It compares in this order:
//
//  1. the priority of the account, the more urgent first;
//  2. interactive calls before background calls;
//  3. the priority of the call;
//  4. how far its account exceeds its share. This comes before lateness, or new calls of an account
//     that fills the slots would overtake calls of other accounts that became late waiting for them;
//  5. the remaining criteria of urgency (Request.compareUrgency);
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

// candidates returns the waiting calls of all accounts, unordered. The caller must hold mutex.
func (q *Queue) candidates(now time.Time) []candidate {
	total := q.activeUsage(now)
	var candidates []candidate
	for _, g := range q.groups {
		if g.interactive.Len()+g.background.Len() == 0 {
			continue
		}
		excess := 0
		if g.isAccount {
			excess = total.excessLevel(g.usage, q.weightOf(g.name))
		}
		for _, waiting := range []*list.List{g.interactive, g.background} {
			for element := waiting.Front(); element != nil; element = element.Next() {
				candidates = append(candidates, candidate{waiter: element.Value.(*waiter), excess: excess})
			}
		}
	}
	return candidates
}

// nextAmongAccounts returns the call that gets a free slot, or nil. The caller must hold mutex.
func (q *Queue) nextAmongAccounts(now time.Time) *waiter {
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

// enqueueAmongAccounts is the variant of enqueueOrRefuse for callers with accounts. A new call may
// displace less urgent ones: calls that can no longer be served in time, or that exceed the queue
// length, are refused now and not when their time has passed.
func (q *Queue) enqueueAmongAccounts(request Request, now time.Time) (*waiter, error) {
	entered := q.push(request, now)
	ranked := q.candidates(now)
	slices.SortFunc(ranked, func(a, b candidate) int { return a.compare(b, now) })
	entered.position = positionOf(entered, ranked)
	expected := q.expectedWaitAmongAccounts(entered.position.ahead, now)
	verdict, deadline := decideWait(request, entered.position.ahead, expected, q.limits, now)
	entered.deadline = deadline
	switch verdict {
	case actionRefuseNoSlot:
		q.remove(entered)
		return nil, q.refuse(expected, "no slot is free", entered.position)
	case actionRefuseFull:
		q.remove(entered)
		return nil, q.refuse(expected, "more urgent calls leave no time for it", entered.position)
	}
	q.refuseUnservable(ranked, now)
	q.dispatch()
	return entered, nil
}

// positionOf returns the position of a call in the ranked waiting calls.
func positionOf(waiting *waiter, ranked []candidate) position {
	ahead := slices.IndexFunc(ranked, func(other candidate) bool { return other.waiter == waiting })
	if ahead == 0 {
		return position{}
	}
	return position{ahead: ahead, behind: &ranked[ahead-1].request}
}

// refuseUnservable refuses the waiting calls that can no longer start before their deadline or no
// longer fit in the queue, because of the calls ranked before them. It begins with the least
// urgent. The caller must hold mutex.
func (q *Queue) refuseUnservable(ranked []candidate, now time.Time) {
	for ahead := len(ranked) - 1; ahead >= 0; ahead-- {
		waiting := ranked[ahead].waiter
		expected := q.expectedWaitAmongAccounts(ahead, now)
		if ahead < q.limits.QueueLength && expected.longest() <= waiting.deadline.Sub(now) {
			continue
		}
		q.remove(waiting)
		waiting.outcome <- q.refuse(expected, "displaced by more urgent calls", positionOf(waiting, ranked))
	}
}

// expectedWaitAmongAccounts estimates the wait of a call with the given number of calls ahead, of
// any account.
func (q *Queue) expectedWaitAmongAccounts(ahead int, now time.Time) waitEstimate {
	return waitEstimate{
		forSlot:  estimateSlotWait(q.meanService, ahead, float64(q.limit.current)),
		forToken: q.bucket.wait(ahead, now),
	}
}
