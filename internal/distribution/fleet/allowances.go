package fleet

import (
	"syscall"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Allowances enforces rate limits that daemons share; see package allowance. Its methods do not
// block.
type Allowances interface {
	Candidates() []string
	Members(nodes []string)
	FleetKnown()
	Connected(node string)
	Lost(node string, ended bool)
	Joined(link allowance.Link)
	Left(node string, link allowance.Link)
	ReceiveAsk(node string, link allowance.Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant
	ReceiveGrant(node string, grant *lapisv1.AllowanceGrant)
}

// SendAllowance sends a message on the link that this daemon opened to the recipient. Without such
// a link the message is dropped, and its sender asks again.
func (f *Fleet) SendAllowance(message allowance.Message) {
	f.mutex.Lock()
	peer := f.peers[message.To]
	if peer == nil || !peer.connected {
		f.mutex.Unlock()
		return
	}
	link := peer.link
	f.mutex.Unlock()
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_AllowanceAsk{AllowanceAsk: message.Ask}})
	if message.Introduce {
		f.send(link, introductionFrame(f.introductionRequest()))
	}
}

// addAllowanceOwners adds the owners of allowances to the daemons chosen for calls; the caller
// holds mutex.
func (f *Fleet) addAllowanceOwners(chosen map[string]bool) {
	if f.config.Allowances == nil {
		return
	}
	owners := map[string]bool{}
	for _, node := range f.config.Allowances.Candidates() {
		owners[node] = true
	}
	for node, peer := range f.peers {
		allowanceOnly := owners[node] && !chosen[node]
		if peer.allowanceOnly != allowanceOnly {
			peer.allowanceOnly = allowanceOnly
			signal(f.reportDue)
		}
		chosen[node] = chosen[node] || owners[node]
	}
}

// allowanceMember reports a newly known daemon to Allowances; the caller holds mutex.
func (f *Fleet) allowanceMember(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Members([]string{node})
		signal(f.reviewLinks)
	}
}

// setFleetKnown records that the known daemons are the fleet, as far as it can be known.
func (f *Fleet) setFleetKnown() {
	if f.fleetKnown.Swap(true) || f.config.Allowances == nil {
		return
	}
	f.config.Allowances.FleetKnown()
}

// allowanceConnected reports a link that this daemon opened. The caller holds mutex, so that the
// end of an earlier link is not reported after it.
func (f *Fleet) allowanceConnected(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Connected(node)
	}
}

// allowanceLost reports the end of a link that this daemon opened; the caller holds mutex.
func (f *Fleet) allowanceLost(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Lost(node, false)
	}
}

// allowanceUnreachable reports a daemon whose process has ended: its host refused the connection,
// or another daemon answered at its address.
func (f *Fleet) allowanceUnreachable(peer *peer, err error) {
	if f.config.Allowances == nil || !processEnded(err) {
		return
	}
	f.config.Allowances.Lost(peer.name, true)
	signal(f.reviewLinks)
}

// processEnded reports whether a dial error proves that the process has ended.
func processEnded(err error) bool {
	var other *callmux.OtherDaemonError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &other)
}

// allowanceJoined reports a link that another daemon opened.
func (f *Fleet) allowanceJoined(inbound *inboundLink) {
	if f.config.Allowances != nil {
		f.config.Allowances.Joined(inbound)
	}
}

// allowanceLeft reports the end of a link that another daemon opened.
func (f *Fleet) allowanceLeft(inbound *inboundLink) {
	if f.config.Allowances != nil {
		f.config.Allowances.Left(inbound.node, inbound)
	}
}

// serveAllowanceAsk answers an ask of another daemon. The answer is sent on a separate goroutine,
// because sending may block and the caller reads the link's frames.
func (f *Fleet) serveAllowanceAsk(inbound *inboundLink, ask *lapisv1.AllowanceAsk) {
	if f.config.Allowances == nil {
		return
	}
	grant := f.config.Allowances.ReceiveAsk(inbound.node, inbound, ask)
	if grant == nil {
		return
	}
	go f.send(inbound.link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_AllowanceGrant{AllowanceGrant: grant}})
}

func (f *Fleet) receiveAllowanceGrant(node string, grant *lapisv1.AllowanceGrant) {
	if f.config.Allowances != nil {
		f.config.Allowances.ReceiveGrant(node, grant)
	}
}
