package allowance

import (
	"slices"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Message is an ask for another daemon.
type Message struct {
	To  string
	Ask *lapisv1.AllowanceAsk
	// Introduce asks the daemon which members it knows as well: it sees other owners.
	Introduce bool
}

// Part is one daemon's part in the allowances: it asks for its calls, and lends what it owns. It is
// not safe for concurrent use. Times are passed in and never go back.
type Part struct {
	self    string
	ranking *ranking
	asker   *asker
	owner   *owner
}

// NewPart returns the part of a daemon that has just started.
func NewPart(self string, bounds Bounds, now time.Time) *Part {
	ranking := newRanking(self, now)
	p := &Part{self: self, ranking: ranking, asker: newAsker(bounds, ranking), owner: newOwner(self, bounds, now)}
	p.owner.join(self)
	p.asker.setConnected(self, true)
	return p
}

// Members adds daemons that became known.
func (p *Part) Members(now time.Time, nodes []string) {
	p.ranking.add(now, nodes...)
	p.owner.setMembers(now, len(p.ranking.ordered))
}

// Candidates returns the daemons to keep connections to.
func (p *Part) Candidates(now time.Time) []string { return p.ranking.candidates(now) }

// Connected records that a connection to a daemon was opened.
func (p *Part) Connected(now time.Time, node string) {
	p.ranking.setContact(now, node, connected)
	p.asker.setConnected(node, true)
}

// Lost records that the connection to a daemon ended; processEnded is true where its process is
// known to be gone.
func (p *Part) Lost(now time.Time, node string, processEnded bool) {
	state := lost
	if processEnded {
		state = ended
	}
	p.ranking.setContact(now, node, state)
	p.asker.setConnected(node, false)
}

// Joined records a connection from another daemon.
func (p *Part) Joined(link Link) { p.owner.join(link) }

// Left records the end of a link.
func (p *Part) Left(now time.Time, node string, link Link) { p.owner.leave(now, node, link) }

// ReceiveAsk returns the answer to what a daemon asked on its link, nil for none.
func (p *Part) ReceiveAsk(now time.Time, node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	if ask.GetRenew() {
		p.owner.hear(now, node, link)
	}
	if stated := ask.GetView(); stated != nil && p.owner.isNewest(link, stated.GetNumber()) {
		p.owner.state(now, node, link, newView(stated.GetOwners()))
	}
	if len(ask.GetNeeds()) == 0 {
		return p.owner.askForView(node, ask)
	}
	return p.owner.grant(now, node, link, ask)
}

// ReceiveGrant takes the answer of an owner.
func (p *Part) ReceiveGrant(now time.Time, owner string, grant *lapisv1.AllowanceGrant) {
	p.asker.receive(now, owner, grant)
}

// Take decides on a call, or leaves its ticket undecided until an owner answers or GiveUp ends the
// wait. revision is that of the configuration which the limit is of.
func (p *Part) Take(now time.Time, allowance string, limit Limit, revision uint64, late bool) *Ticket {
	return p.asker.take(now, allowance, limit, revision, late)
}

// GiveUp decides on a call that has waited long enough.
func (p *Part) GiveUp(now time.Time, ticket *Ticket) { p.asker.giveUp(now, ticket) }

// GiveBack returns the credit of a call that did not run.
func (p *Part) GiveBack(now time.Time, ticket *Ticket) { p.asker.giveBack(now, ticket) }

// Outgoing returns the messages that are due. What this daemon asks of itself is served at once.
func (p *Part) Outgoing(now time.Time) []Message {
	asks := p.asker.outgoing(now)
	if own := asks[p.self]; own != nil {
		delete(asks, p.self)
		if grant := p.ReceiveAsk(now, p.self, p.self, own); grant != nil {
			p.ReceiveGrant(now, p.self, grant)
		}
	}
	messages := make([]Message, 0, len(asks))
	for node, ask := range asks {
		messages = append(messages, Message{To: node, Ask: ask, Introduce: p.asker.introduce(now, node)})
	}
	slices.SortFunc(messages, func(a, b Message) int { return strings.Compare(a.To, b.To) })
	return messages
}
