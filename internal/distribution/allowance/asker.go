package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// answerTimeout is how long a call waits for an owner's answer. It covers a few round trips
	// between zones and a fraction of a second in which the owner's processor is busy.
	answerTimeout = 300 * time.Millisecond
	// renewInterval is the interval between renewals of a vote at an owner. It fits three times
	// into voteTTL.
	renewInterval = 400 * time.Millisecond
	// notOwnerBackoff is the wait before asking again a daemon that does not see itself as the
	// owner. Votes of other daemons may still be on their way to it.
	notOwnerBackoff = 100 * time.Millisecond
	// minIntroduceInterval is the minimum time between two requests to one daemon for its member
	// list.
	minIntroduceInterval = time.Second
	// maxAllowances bounds the number of allowances that a daemon keeps state for.
	maxAllowances = 16384
	// noOwnerRetryAfter is the retry delay given to a call when no owner answers.
	noOwnerRetryAfter = 500 * time.Millisecond
)

// Outcome is the decision on a Ticket.
type Outcome struct {
	// Granted is true if the call may proceed.
	Granted bool
	// RetryAfter is the time until credit is expected, for a call that may not proceed.
	RetryAfter time.Duration
	// Unreachable is true if no owner answered, so that it is unknown whether credit is left.
	Unreachable bool
}

// code returns the result code of a refused call.
func (o Outcome) code() result.Code {
	if o.Unreachable {
		return result.CallLimitUnknown
	}
	return result.CallRateLimited
}

// Ticket is the request of one call for credit.
type Ticket struct {
	allowance string
	// Decided receives the outcome exactly once.
	Decided chan Outcome
	decided bool
	// late marks a call that can no longer be answered in time. It is served after the others.
	late    bool
	granted credit
}

func (t *Ticket) decide(outcome Outcome) {
	t.decided = true
	t.Decided <- outcome
}

// peerState is the state of this daemon's requests to one daemon that may be an owner.
type peerState struct {
	connected bool
	// statedKey is the key of the view that was last sent to the peer, empty if none counts there, and
	// statedNumber its number. confirmedNumber is the number of the newest view that the peer confirmed.
	statedKey                     string
	statedNumber, confirmedNumber uint64
	// voteExpiresAt is when the vote at the peer has expired, unless it is renewed.
	voteExpiresAt time.Time
	// lastSentAt is when an ask was last sent to the peer.
	lastSentAt time.Time
	// epoch numbers the connections to the peer. Credit of an earlier connection may come from an
	// earlier process.
	epoch uint64
	// inFlight is the ask without an answer so far, nil if there is none. It was sent at sentAt.
	inFlight *lapisv1.AllowanceAsk
	sentAt   time.Time
	// answeredSequence is the sequence number of the newest answered ask. unansweredSentAt is when
	// the newest of the asks that timed out was sent.
	answeredSequence uint64
	unansweredSentAt time.Time
	// ownershipDenied is true after the peer answered that it is not the owner, until it is asked
	// for its member list. introducedAt is the time of that request.
	ownershipDenied bool
	introducedAt    time.Time
	// unresponsive is true after an ask timed out, until the next answer.
	unresponsive bool
}

// client requests credit from owners for the calls of this daemon.
type client struct {
	bounds     Bounds
	ranking    *ranking
	allowances map[string]*localAllowance
	peers      map[string]*peerState
	sequence   uint64
	// ballot determines the view that is stated. viewNumber is the number of the view sent last.
	ballot     ballot
	viewNumber uint64
	revision   uint64
	// fleetKnown is true once this daemon votes (Participant.FleetKnown).
	fleetKnown bool
	counts     Counts
}

// Counts counts the calls of this daemon by outcome.
type Counts struct {
	// Granted calls used an owner's credit, Reserved calls the local reserve. Refused calls found
	// no credit, Unreachable ones no owner.
	Granted, Reserved, Refused, Unreachable uint64
}

func newClient(bounds Bounds, ranking *ranking) *client {
	return &client{bounds: bounds, ranking: ranking, allowances: map[string]*localAllowance{}, peers: map[string]*peerState{}}
}

// take decides on a call, or leaves its ticket undecided until an owner answers or giveUp is
// called.
func (c *client) take(now time.Time, name string, limit Limit, revision uint64, late bool) *Ticket {
	ticket := &Ticket{allowance: name, late: late, Decided: make(chan Outcome, 1)}
	local := c.localAllowance(now, name)
	if local == nil {
		c.refuse(ticket, maxRetryAfter)
		return ticket
	}
	if revision >= c.revision {
		c.revision = revision
		local.limit = limit
	}
	local.recordUse(now)
	if !late {
		if from, ok := local.spend(now); ok {
			c.grantCredit(ticket, from)
			return ticket
		}
	}
	if now.Before(local.refusedUntil) || late && now.Before(local.lateRefusedUntil) {
		c.refuse(ticket, local.retryAfter)
		return ticket
	}
	if !c.isResponsive(c.lenderOf(now, name, local)) {
		c.takeReserve(now, ticket, local)
		local.probe = true
		return ticket
	}
	local.waiting = append(local.waiting, ticket)
	return ticket
}

// lenderOf returns the daemon to request credit from, empty if there is none. This is the owner, or
// the previous lender while the owner does not yet see itself as such.
func (c *client) lenderOf(now time.Time, name string, local *localAllowance) string {
	owner := c.ranking.view(now).ownerOf(name)
	if local.lastLender != "" && now.Before(local.notOwnerUntil) && c.isResponsive(local.lastLender) {
		return local.lastLender
	}
	return owner
}

// isResponsive reports whether a daemon is connected and its last ask did not time out.
func (c *client) isResponsive(node string) bool {
	peer := c.peers[node]
	return peer != nil && peer.connected && !peer.unresponsive
}

// localAllowance returns the state of an allowance, creating it if necessary. It returns nil if
// maxAllowances are in use.
func (c *client) localAllowance(now time.Time, name string) *localAllowance {
	if local := c.allowances[name]; local != nil {
		return local
	}
	if len(c.allowances) >= maxAllowances {
		c.forgetIdle(now)
	}
	if len(c.allowances) >= maxAllowances {
		return nil
	}
	local := &localAllowance{unused: map[string]unusedCredit{}, lastUsedAt: now}
	c.allowances[name] = local
	return local
}

// forgetIdle drops the state of allowances that are no longer in use.
func (c *client) forgetIdle(now time.Time) {
	for name, local := range c.allowances {
		if local.isIdle(now, c.bounds.Window) {
			delete(c.allowances, name)
		}
	}
}

func (c *client) grantCredit(ticket *Ticket, from credit) {
	c.counts.Granted++
	ticket.granted = from
	ticket.decide(Outcome{Granted: true})
}

func (c *client) refuse(ticket *Ticket, retryAfter time.Duration) {
	c.counts.Refused++
	ticket.decide(Outcome{RetryAfter: retryAfter})
}

// takeReserve decides on a call from the local reserve, because no owner is reachable.
func (c *client) takeReserve(now time.Time, ticket *Ticket, local *localAllowance) {
	members := len(c.ranking.ordered)
	total := c.bounds.reserveCalls()
	membersSettled := c.fleetKnown && c.ranking.membersSettled(now, c.bounds.Window)
	if membersSettled && local.reserve.take(now, total, c.ranking.reserveRank(ticket.allowance), members, c.bounds.Window) {
		c.counts.Reserved++
		ticket.decide(Outcome{Granted: true})
		return
	}
	c.counts.Unreachable++
	ticket.decide(Outcome{RetryAfter: noOwnerRetryAfter, Unreachable: true})
}

// giveUp decides on a call that has waited for answerTimeout, or whose caller has left.
func (c *client) giveUp(now time.Time, ticket *Ticket) {
	if !ticket.decided {
		c.takeReserve(now, ticket, c.allowances[ticket.allowance])
	}
}

// giveBack returns the credit of a call that did not run. Credit that is still valid goes to a call
// that waits here. The rest is queued for return to its owner.
func (c *client) giveBack(now time.Time, ticket *Ticket) {
	local := c.allowances[ticket.allowance]
	if local == nil || ticket.granted.owner == "" {
		return
	}
	back := ticket.granted
	back.calls = 1
	ticket.granted = credit{}
	if !now.After(back.expiresAt) {
		local.put(back)
		c.serveWaiting(now, local)
		from, left := local.spend(now)
		if !left {
			return
		}
		back = from
	}
	back.calls = 1
	c.queueReturn(now, local, back)
}

// serveWaiting grants waiting calls while there is credit, late calls last.
func (c *client) serveWaiting(now time.Time, local *localAllowance) {
	local.dropDecided()
	for _, late := range []bool{false, true} {
		for _, ticket := range local.waiting {
			if ticket.late != late {
				continue
			}
			from, ok := local.spend(now)
			if !ok {
				return
			}
			c.grantCredit(ticket, from)
		}
	}
}

// setConnected records that the connection to a daemon was opened or has ended.
func (c *client) setConnected(node string, connected bool) {
	peer := c.peers[node]
	if peer == nil {
		peer = &peerState{}
		c.peers[node] = peer
	}
	peer.connected = connected
	peer.epoch++
	peer.statedKey = ""
	peer.unresponsive = false
	c.clearInFlight(peer)
	for _, local := range c.allowances {
		delete(local.unused, node)
	}
}
