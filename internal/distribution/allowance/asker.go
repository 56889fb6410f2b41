package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// answerPatience is how long an owner has for an answer: a few round trips between zones, and a
	// part of a second in which its processor does other work. Calls wait no longer for credit.
	answerPatience = 300 * time.Millisecond
	// renewInterval is how often a vote is renewed at an owner: three times in voteLapse.
	renewInterval = 400 * time.Millisecond
	// notOwnerPause is the time between two asks to a daemon that does not see itself as the owner:
	// others may be about to state their views to it.
	notOwnerPause = 100 * time.Millisecond
	// introduceInterval is the least time between two questions to a daemon about its members.
	introduceInterval = time.Second
	// maxHoldings bounds the allowances that a daemon remembers.
	maxHoldings = 16384
	// noOwnerRetry is how long a call is told to wait where no owner answers.
	noOwnerRetry = 500 * time.Millisecond
)

// Outcome is how a Ticket was decided.
type Outcome struct {
	// Granted lets the call go.
	Granted bool
	// RetryAfter is when there is credit again, for a call that may not go.
	RetryAfter time.Duration
	// Unreachable is true where no owner answered, so that it is not known whether credit is left.
	Unreachable bool
}

// code returns the code of a call that may not go.
func (o Outcome) code() result.Code {
	if o.Unreachable {
		return result.CallLimitUnknown
	}
	return result.CallRateLimited
}

// Ticket is one call that wants credit.
type Ticket struct {
	allowance string
	// Decided receives the outcome, once.
	Decided chan Outcome
	decided bool
	// late calls get credit that others leave.
	late    bool
	granted credit
}

func (t *Ticket) decide(outcome Outcome) {
	t.decided = true
	t.Decided <- outcome
}

// channel is the state of this daemon's questions to one owner.
type channel struct {
	connected bool
	// stated is the key of the view that the owner was told, empty for none.
	stated string
	// renewedAt is when the owner was last told anything.
	renewedAt time.Time
	// epoch numbers the connections: credit of an earlier one may be of an earlier process.
	epoch uint64
	// inFlight is the ask that is not answered, nil for none, sent at sentAt.
	inFlight *lapisv1.AllowanceAsk
	sentAt   time.Time
	// answered is the newest ask that was answered, and lateFrom when the newest one was sent that was
	// not answered in time.
	answered uint64
	lateFrom time.Time
	// disagrees is true once the daemon did not see itself as the owner, until it was asked for the
	// members that it knows, at introducedAt.
	disagrees    bool
	introducedAt time.Time
	// silent is true from an ask without an answer in time until the next answer.
	silent bool
}

// asker asks owners for credit on behalf of the calls of this daemon.
type asker struct {
	bounds   Bounds
	ranking  *ranking
	holdings map[string]*holding
	channels map[string]*channel
	sequence uint64
	// viewNumber is that of the view stated last.
	viewNumber uint64
	revision   uint64
	counts     Counts
}

// Counts are what happened to the calls of this daemon.
type Counts struct {
	// Granted went with an owner's credit, Reserved without one; Refused found no credit, and
	// Unreachable no owner.
	Granted, Reserved, Refused, Unreachable uint64
}

func newAsker(bounds Bounds, ranking *ranking) *asker {
	return &asker{bounds: bounds, ranking: ranking, holdings: map[string]*holding{}, channels: map[string]*channel{}}
}

// take decides on a call, or leaves its ticket undecided until an owner answers or giveUp ends it.
func (a *asker) take(now time.Time, name string, limit Limit, revision uint64, late bool) *Ticket {
	ticket := &Ticket{allowance: name, late: late, Decided: make(chan Outcome, 1)}
	held := a.holding(now, name)
	if held == nil {
		a.refuse(ticket, longestReturn)
		return ticket
	}
	if revision >= a.revision {
		a.revision = revision
		held.limit = limit
	}
	held.noteUse(now)
	if !late {
		if from, ok := held.spend(now); ok {
			a.allow(ticket, from)
			return ticket
		}
	}
	if now.Before(held.refusedUntil) || late && now.Before(held.lateRefusedUntil) {
		a.refuse(ticket, held.returnAfter)
		return ticket
	}
	if !a.answers(a.lender(now, name, held)) {
		a.takeReserve(now, ticket, held)
		held.probe = true
		return ticket
	}
	held.waiting = append(held.waiting, ticket)
	return ticket
}

// lender returns the daemon to ask for credit: the owner, or the one that lent before while the owner
// does not see itself as such. Empty for none.
func (a *asker) lender(now time.Time, name string, held *holding) string {
	owner := a.ranking.view(now).ownerOf(name)
	if held.lentBefore != "" && now.Before(held.askAfter) && a.answers(held.lentBefore) {
		return held.lentBefore
	}
	return owner
}

// answers reports whether a daemon is connected and has answered in time.
func (a *asker) answers(node string) bool {
	known := a.channels[node]
	return known != nil && known.connected && !known.silent
}

// holding returns what is held of an allowance, nil where there are too many.
func (a *asker) holding(now time.Time, name string) *holding {
	if known := a.holdings[name]; known != nil {
		return known
	}
	if len(a.holdings) >= maxHoldings {
		a.forgetIdle(now)
	}
	if len(a.holdings) >= maxHoldings {
		return nil
	}
	added := &holding{unused: map[string]unused{}, usedAt: now}
	a.holdings[name] = added
	return added
}

func (a *asker) forgetIdle(now time.Time) {
	for name, known := range a.holdings {
		if known.idle(now, a.bounds.Window) {
			delete(a.holdings, name)
		}
	}
}

func (a *asker) allow(ticket *Ticket, from credit) {
	a.counts.Granted++
	ticket.granted = from
	ticket.decide(Outcome{Granted: true})
}

func (a *asker) refuse(ticket *Ticket, after time.Duration) {
	a.counts.Refused++
	ticket.decide(Outcome{RetryAfter: after})
}

// takeReserve decides on a call without an owner.
func (a *asker) takeReserve(now time.Time, ticket *Ticket, held *holding) {
	members := len(a.ranking.ordered)
	total := a.bounds.reserve()
	settled := a.ranking.settled(now, a.bounds.Window)
	if settled && held.reserve.take(now, total, a.ranking.reserveRank(ticket.allowance), members, a.bounds.Window) {
		a.counts.Reserved++
		ticket.decide(Outcome{Granted: true})
		return
	}
	a.counts.Unreachable++
	ticket.decide(Outcome{RetryAfter: noOwnerRetry, Unreachable: true})
}

// giveUp decides on a call that has waited for answerPatience, or whose caller has left.
func (a *asker) giveUp(now time.Time, ticket *Ticket) {
	if !ticket.decided {
		a.takeReserve(now, ticket, a.holdings[ticket.allowance])
	}
}

// giveBack returns the credit of a call that did not run: to a call that waits here while it is
// valid, else to its owner, soon enough for it to count there.
func (a *asker) giveBack(now time.Time, ticket *Ticket) {
	held := a.holdings[ticket.allowance]
	if held == nil || ticket.granted.owner == "" {
		return
	}
	back := ticket.granted
	back.calls = 1
	ticket.granted = credit{}
	if !now.After(back.until) {
		held.put(back)
		a.serveWaiting(now, held)
		from, left := held.spend(now)
		if !left {
			return
		}
		back = from
	}
	back.calls = 1
	a.setAside(now, held, back)
}

// serveWaiting lets calls go that wait while there is credit, late ones last.
func (a *asker) serveWaiting(now time.Time, held *holding) {
	held.dropDecided()
	for _, late := range []bool{false, true} {
		for _, ticket := range held.waiting {
			if ticket.late != late {
				continue
			}
			from, ok := held.spend(now)
			if !ok {
				return
			}
			a.allow(ticket, from)
		}
	}
}

// setConnected records that the connection to a daemon was opened or has ended.
func (a *asker) setConnected(node string, connected bool) {
	known := a.channels[node]
	if known == nil {
		known = &channel{}
		a.channels[node] = known
	}
	known.connected = connected
	known.epoch++
	known.stated = ""
	known.silent = false
	a.clearInFlight(known)
	for _, held := range a.holdings {
		delete(held.unused, node)
	}
}
