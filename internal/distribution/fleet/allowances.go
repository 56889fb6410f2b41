package fleet

import (
	"syscall"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Allowances keeps limits that daemons share. Its methods do not wait; package allowance says what
// they do.
type Allowances interface {
	Candidates() []string
	Members(nodes []string)
	Connected(node string)
	Lost(node string, ended bool)
	Joined(link allowance.Link)
	Left(node string, link allowance.Link)
	ReceiveAsk(node string, link allowance.Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant
	ReceiveGrant(node string, grant *lapisv1.AllowanceGrant)
}

// SendAllowance sends a message to a daemon on the link that this daemon opened. Without one the
// message is dropped: its sender asks again.
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
		f.send(link, introductionFrame(&lapisv1.Introduction{Wanted: true}))
	}
}

// addAllowanceOwners adds the owners of allowances to the daemons that are chosen for calls; the
// caller holds mutex.
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

// allowanceMember records a daemon that became known; the caller holds mutex.
func (f *Fleet) allowanceMember(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Members([]string{node})
		signal(f.reviewLinks)
	}
}

// allowanceConnected records a link that this daemon opened; the caller holds mutex, so that the end
// of an earlier link is not recorded after it.
func (f *Fleet) allowanceConnected(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Connected(node)
	}
}

// allowanceLost records the end of a link that this daemon opened; the caller holds mutex.
func (f *Fleet) allowanceLost(node string) {
	if f.config.Allowances != nil {
		f.config.Allowances.Lost(node, false)
	}
}

// allowanceUnreachable records that a daemon could not be dialed. Where its machine refuses the
// connection, or another daemon answers, its process has ended.
func (f *Fleet) allowanceUnreachable(peer *peer, err error) {
	if f.config.Allowances == nil || !processEnded(err) {
		return
	}
	f.mutex.Lock()
	node := peer.Node
	f.mutex.Unlock()
	f.config.Allowances.Lost(node, true)
	signal(f.reviewLinks)
}

// processEnded reports whether the error of a dial proves that the process is gone.
func processEnded(err error) bool {
	var other *callmux.OtherDaemonError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &other)
}

// allowanceJoined records a link that another daemon opened.
func (f *Fleet) allowanceJoined(inbound *inboundLink) {
	if f.config.Allowances != nil {
		f.config.Allowances.Joined(inbound)
	}
}

// allowanceLeft records the end of a link that another daemon opened.
func (f *Fleet) allowanceLeft(inbound *inboundLink) {
	if f.config.Allowances != nil {
		f.config.Allowances.Left(inbound.node, inbound)
	}
}

// serveAllowanceAsk answers another daemon. Sending may wait for the network, and this is called
// where the frames of the link are read.
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
