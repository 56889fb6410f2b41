package allowance

import (
	"slices"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Message is an ask to be sent to another daemon.
type Message struct {
	To  string
	Ask *lapisv1.AllowanceAsk
	// Introduce also asks the daemon for its member list, because its view of the owners differs.
	Introduce bool
}

// Participant is one daemon's part in the rate limiting protocol: it requests credit for the
// daemon's own calls and lends credit of the allowances that it owns. It is not safe for concurrent
// use. Times are passed in and never go back.
type Participant struct {
	self    string
	ranking *ranking
	client  *client
	owner   *owner
}

// NewParticipant returns the state of a daemon that has just started.
func NewParticipant(self string, bounds Bounds, now time.Time) *Participant {
	ranking := newRanking(self, now)
	p := &Participant{self: self, ranking: ranking, client: newClient(bounds, ranking), owner: newOwner(self, bounds, now)}
	p.owner.openLink(self)
	p.client.setConnected(self, true)
	return p
}

// Members adds daemons that became known.
func (p *Participant) Members(now time.Time, nodes []string) {
	p.ranking.add(now, nodes...)
	p.owner.setMembers(now, len(p.ranking.ordered))
}

// FleetKnown records that the members added so far are the fleet, by the directory or by a daemon that
// knows it. Before that, this daemon neither votes nor lends, nor uses its reserve: it cannot tell how many
// others do.
func (p *Participant) FleetKnown(now time.Time) {
	if !p.client.fleetKnown {
		p.client.fleetKnown = true
		p.owner.setFleetKnown(now)
	}
}

// Candidates returns the daemons to keep connections to.
func (p *Participant) Candidates(now time.Time) []string { return p.ranking.candidates(now) }

// Connected records that this daemon opened a connection to another one.
func (p *Participant) Connected(now time.Time, node string) {
	p.ranking.setContact(now, node, connected)
	p.client.setConnected(node, true)
}

// Lost records that the connection to a daemon ended. processEnded is true if its process is known
// to have ended.
func (p *Participant) Lost(now time.Time, node string, processEnded bool) {
	state := lost
	if processEnded {
		state = ended
	}
	p.ranking.setContact(now, node, state)
	p.client.setConnected(node, false)
	if processEnded {
		p.client.peers[node].voteExpiresAt = now
	}
}

// Joined records a link that another daemon opened.
func (p *Participant) Joined(link Link) { p.owner.openLink(link) }

// Left records the end of a link that another daemon opened.
func (p *Participant) Left(now time.Time, node string, link Link) { p.owner.closeLink(now, node, link) }

// ReceiveAsk returns the answer to an ask received on a link, nil if there is none.
func (p *Participant) ReceiveAsk(now time.Time, node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	if ask.GetRenew() {
		p.owner.renewVote(now, node, link)
	}
	if stated := ask.GetView(); stated != nil && p.owner.acceptNewerView(link, stated.GetNumber()) {
		p.owner.recordView(now, node, link, newTransition(stated.GetPreviousOwners(), stated.GetOwners()))
	}
	if len(ask.GetNeeds()) > 0 {
		return p.owner.grant(now, node, link, ask)
	}
	return p.owner.confirmView(node, link, ask)
}

// ReceiveGrant processes an owner's answer.
func (p *Participant) ReceiveGrant(now time.Time, owner string, grant *lapisv1.AllowanceGrant) {
	p.client.receive(now, owner, grant)
}

// Take decides on a call, or leaves its ticket undecided until an owner answers or GiveUp is
// called. revision is the revision of the configuration that the limit comes from.
func (p *Participant) Take(now time.Time, allowance string, limit Limit, revision uint64, late bool) *Ticket {
	return p.client.take(now, allowance, limit, revision, late)
}

// GiveUp decides on a call that has waited for answerTimeout or whose caller has left.
func (p *Participant) GiveUp(now time.Time, ticket *Ticket) { p.client.giveUp(now, ticket) }

// GiveBack returns the credit of a call that did not run.
func (p *Participant) GiveBack(now time.Time, ticket *Ticket) { p.client.giveBack(now, ticket) }

// Outgoing returns the messages that are due. Asks from this daemon to itself are answered
// directly.
func (p *Participant) Outgoing(now time.Time) []Message {
	asks := p.client.outgoing(now)
	if own := asks[p.self]; own != nil {
		delete(asks, p.self)
		if grant := p.ReceiveAsk(now, p.self, p.self, own); grant != nil {
			p.ReceiveGrant(now, p.self, grant)
		}
	}
	messages := make([]Message, 0, len(asks))
	for node, ask := range asks {
		messages = append(messages, Message{To: node, Ask: ask, Introduce: p.client.shouldIntroduce(now, node)})
	}
	slices.SortFunc(messages, func(a, b Message) int { return strings.Compare(a.To, b.To) })
	return messages
}
