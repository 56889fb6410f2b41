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

// sendWithdrawn sends a daemon the list of its own instances that it once reported as gone for
// good. It keeps that list in memory only and may have restarted since.
func (f *Fleet) sendWithdrawn(peer *peer, link callmux.Link) {
	f.mutex.Lock()
	withdrawn := slices.Sorted(maps.Keys(peer.withdrawn))
	f.mutex.Unlock()
	if len(withdrawn) > 0 {
		f.config.Logger.Info("fleet.withdrawn_sent", "member", peer.name, "instances", len(withdrawn))
		f.send(link, introductionFrame(&lapisv1.Introduction{Withdrawn: withdrawn}))
	}
}

// requestIntroduction asks a connected daemon to name the others, because the directory is
// unreachable.
func (f *Fleet) requestIntroduction() {
	if link, found := f.anyLink(); found {
		f.send(link, introductionFrame(f.introductionRequest()))
	}
}

// introductionRequest asks for the daemons that this one does not know.
func (f *Fleet) introductionRequest() *lapisv1.Introduction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	digests := f.nameDigests()
	return &lapisv1.Introduction{Wanted: true, Known: digests[:]}
}

// anyLink returns an open link, preferably an outbound one.
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

// recordIntroduction records the members that another daemon names, and the withdrawn instances of
// this machine. from is that daemon's name. It answers over link if an introduction is requested.
func (f *Fleet) recordIntroduction(introduction *lapisv1.Introduction, from string, link callmux.Link) {
	for _, member := range introduction.GetMembers() {
		f.recordIntroduced(Member{
			Node: member.GetNode(), Address: member.GetAddress(), Zone: member.GetZone(), Region: member.GetRegion(), Service: member.GetService(),
		})
	}
	for _, instance := range introduction.GetWithdrawn() {
		f.config.Observer.Withdraw(instance, from)
	}
	if introduction.GetComplete() {
		f.setFleetKnown()
	}
	if introduction.GetWanted() {
		go f.sendIntroductions(link, introduction.GetKnown())
	}
}

// sendIntroductions names the daemons that a daemon with the given digests may not know. Only the last
// message is complete, and it is sent without members as well if this daemon knows the fleet.
func (f *Fleet) sendIntroductions(link callmux.Link, known []uint64) {
	complete := f.fleetKnown.Load()
	members := f.introduction(known).GetMembers()
	for len(members) > maxIntroducedMembers {
		f.send(link, introductionFrame(&lapisv1.Introduction{Members: members[:maxIntroducedMembers]}))
		members = members[maxIntroducedMembers:]
	}
	if complete || len(members) > 0 {
		f.send(link, introductionFrame(&lapisv1.Introduction{Members: members, Complete: complete}))
	}
}

// introduction names the daemons that may be reachable and that a daemon with the given digests may
// not know; all if there are no digests. This daemon is left out, because the other side knows it by
// its greeting.
func (f *Fleet) introduction(known []uint64) *lapisv1.Introduction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := boottime.Now()
	introduction := &lapisv1.Introduction{}
	differs := f.nameDigests().compare(known)
	for _, peer := range f.peers {
		if differs[nameBucket(peer.nameHash)] && peer.introducible(now) {
			introduction.Members = append(introduction.Members, &lapisv1.PeerAddress{
				Node: peer.Node, Address: peer.Address, Zone: peer.Zone, Region: peer.Region, Service: peer.Service,
			})
		}
	}
	return introduction
}

// introducible reports whether to name a daemon to others. It excludes daemons at whose address
// another one answers, and chosen daemons whose link has been lost for endpointTTL or longer.
// Fleet.mutex is held.
func (p *peer) introducible(now time.Time) bool {
	if p.isDisplaced(now) {
		return false
	}
	return p.stopMaintaining == nil || p.connected || now.Sub(p.lostAt) < endpointTTL
}
