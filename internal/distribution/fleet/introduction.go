package fleet

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

func introductionFrame(introduction *lapisv1.Introduction) *lapisv1.CallFrame {
	return &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Introduction{Introduction: introduction}}
}

// remind tells a daemon which of its own instances left, as far as it said so
// before; it may have lost its memory since.
func (f *Fleet) remind(member *peer, link callmux.Link) {
	f.mutex.Lock()
	reminder := &lapisv1.Introduction{}
	for instance := range member.withdrawn {
		reminder.Withdrawn = append(reminder.Withdrawn, instance)
	}
	f.mutex.Unlock()
	if len(reminder.Withdrawn) == 0 {
		return
	}
	slices.Sort(reminder.Withdrawn)
	_ = link.Send(introductionFrame(reminder))
}

// askIntroduction asks any daemon in reach to name the others, because the
// directory is out of reach.
func (f *Fleet) askIntroduction() {
	f.mutex.Lock()
	var link callmux.Link
	found := false
	for _, member := range f.members {
		if member.connected {
			link, found = member.link, true
		}
	}
	for open := range f.listeners {
		if !found {
			link, found = open.link, true
		}
	}
	f.mutex.Unlock()
	if found {
		_ = link.Send(introductionFrame(&lapisv1.Introduction{Wanted: true}))
	}
}

// introduced takes in what another daemon says of others, and answers over link
// where it asks.
func (f *Fleet) introduced(introduction *lapisv1.Introduction, link callmux.Link) {
	for _, member := range introduction.GetMembers() {
		f.learnHearsay(Member{
			Node: member.GetNode(), Address: member.GetAddress(), Zone: member.GetZone(), Region: member.GetRegion(), Service: member.GetService(),
		})
	}
	for _, instance := range introduction.GetWithdrawn() {
		f.config.Observer.Withdraw(instance)
	}
	if introduction.GetWanted() {
		go func() { _ = link.Send(introductionFrame(f.introduction())) }()
	}
}

// introduction names the daemons that are in reach or were a while ago, and
// this one.
func (f *Fleet) introduction() *lapisv1.Introduction {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	introduction := &lapisv1.Introduction{}
	for _, member := range f.members {
		if member.displaced(boottime.Now()) {
			continue
		}
		if member.stop == nil || member.connected || boottime.Since(member.lostAt) < forgetAfter {
			introduction.Members = append(introduction.Members, &lapisv1.PeerAddress{
				Node: member.Node, Address: member.Address, Zone: member.Zone, Region: member.Region, Service: member.Service,
			})
		}
	}
	return introduction
}
