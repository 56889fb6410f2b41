package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

func introductionFrame(introduction *lapisv1.Introduction) *lapisv1.CallFrame {
	return &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Introduction{Introduction: introduction}}
}

// sendWithdrawn names to a daemon those of its own instances that it said left for good. It
// keeps this in memory only and may have restarted since.
func (f *Fleet) sendWithdrawn(peer *peer, link callmux.Link) {
	f.mutex.Lock()
	withdrawn := slices.Sorted(maps.Keys(peer.withdrawn))
	f.mutex.Unlock()
	if len(withdrawn) > 0 {
		f.send(link, introductionFrame(&lapisv1.Introduction{Withdrawn: withdrawn}))
	}
}

// requestIntroduction asks any daemon in reach to name the others, because the
// directory is out of reach.
func (f *Fleet) requestIntroduction() {
	if link, found := f.anyLink(); found {
		f.send(link, introductionFrame(&lapisv1.Introduction{Wanted: true}))
	}
}

// anyLink returns an open link, one that this daemon opened where there is one.
func (f *Fleet) anyLink() (link callmux.Link, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.connected {
			return peer.link, true
		}
	}
	for inbound := range f.inbound {
		return inbound.link, true
	}
	return callmux.Link{}, false
}

// recordIntroduction records what another daemon says of others and of the instances that
// left beside this one, and answers over link where it asks.
func (f *Fleet) recordIntroduction(introduction *lapisv1.Introduction, link callmux.Link) {
	for _, member := range introduction.GetMembers() {
		f.recordIntroduced(Member{
			Node: member.GetNode(), Address: member.GetAddress(), Zone: member.GetZone(), Region: member.GetRegion(), Service: member.GetService(),
		})
	}
	for _, instance := range introduction.GetWithdrawn() {
		f.config.Observer.Withdraw(instance)
	}
	if introduction.GetWanted() {
		go func() { f.send(link, introductionFrame(f.introduction())) }()
	}
}

// introduction names the daemons that may be in reach. This daemon itself is known to the
// other side by its greeting.
func (f *Fleet) introduction() *lapisv1.Introduction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := boottime.Now()
	introduction := &lapisv1.Introduction{}
	for _, peer := range f.peers {
		if peer.introducible(now) {
			introduction.Members = append(introduction.Members, &lapisv1.PeerAddress{
				Node: peer.Node, Address: peer.Address, Zone: peer.Zone, Region: peer.Region, Service: peer.Service,
			})
		}
	}
	return introduction
}

// introducible reports whether a daemon is named to others: not while another one answers
// at its address, and not once a wanted link to it has been lost for
// endpointsForgottenAfter; Fleet.mutex is held.
func (p *peer) introducible(now time.Time) bool {
	if p.displaced(now) {
		return false
	}
	return p.stopMaintaining == nil || p.connected || now.Sub(p.lostAt) < endpointsForgottenAfter
}
