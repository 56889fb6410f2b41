package fleet

import (
	"context"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// SetLocalEndpoints replaces the instances beside this daemon and announces them to the
// daemons that opened a link. It keeps endpoints and fills in their daemon.
func (f *Fleet) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	withdrawn := f.config.Withdrawn()
	f.mutex.Lock()
	f.withdrawn = withdrawn
	for _, endpoint := range endpoints {
		setOrigin(endpoint, f.config.Self, f.config.Incarnation)
	}
	f.local = endpoints
	for inbound := range f.inbound {
		signal(inbound.announcementChanged)
	}
	f.mutex.Unlock()
	signal(f.reportDue)
}

// Endpoints returns the known instances of a service, in order of their names.
func (f *Fleet) Endpoints(service string) []*lapisv1.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.endpoints()[service]
}

func (f *Fleet) sendAnnouncement(link callmux.Link) {
	f.mutex.Lock()
	announcement := f.announcement()
	f.mutex.Unlock()
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Announcement{Announcement: announcement}})
}

// announcement returns this daemon's own; the caller holds mutex.
func (f *Fleet) announcement() *lapisv1.Announcement {
	self := f.config.Self
	return &lapisv1.Announcement{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Region: self.Region, Incarnation: f.config.Incarnation,
		Revision: f.revision(), Endpoints: f.local, Withdrawn: f.withdrawn,
	}
}

// recordAnnouncement records another daemon's announcement, which came on the link of
// that generation. One that came late on an earlier link is dropped.
func (f *Fleet) recordAnnouncement(peer *peer, generation uint64, announcement *lapisv1.Announcement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if announcement.GetNode() != peer.Node || generation != peer.generation {
		return
	}
	if region := announcement.GetRegion(); region != "" && region != peer.Region {
		// An entry of the directory may lack the region.
		peer.Region = region
		signal(f.reviewLinks)
	}
	for _, endpoint := range announcement.GetEndpoints() {
		setOrigin(endpoint, peer.Member, announcement.GetIncarnation())
	}
	peer.recordWithdrawn(announcement.GetWithdrawn(), boottime.Now())
	peer.announcement = announcement
	f.recordRevision(peer, announcement.GetRevision())
	signal(f.reportDue)
}

// setOrigin fills in the daemon that announces an endpoint.
func setOrigin(endpoint *lapisv1.Endpoint, member Member, incarnation uint64) {
	endpoint.Node = member.Node
	endpoint.Address = member.Address
	endpoint.Zone = member.Zone
	endpoint.Region = member.Region
	endpoint.Incarnation = incarnation
}

// endpoints returns all known instances by service, in order of instance; the
// caller holds mutex. Those of a daemon that was never chosen for a link, that is linked to for
// allowances only, or whose link has been lost for endpointsForgottenAfter, are left out.
func (f *Fleet) endpoints() map[string][]*lapisv1.Endpoint {
	services := map[string][]*lapisv1.Endpoint{}
	for _, endpoint := range f.local {
		services[endpoint.GetService()] = append(services[endpoint.GetService()], endpoint)
	}
	for _, peer := range f.peers {
		if peer.stopMaintaining == nil || peer.allowanceOnly || (!peer.connected && boottime.Since(peer.lostAt) > endpointsForgottenAfter) {
			continue
		}
		for _, endpoint := range peer.announcement.GetEndpoints() {
			services[endpoint.GetService()] = append(services[endpoint.GetService()], peer.withReachability(endpoint))
		}
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b *lapisv1.Endpoint) int {
			return strings.Compare(a.GetInstance(), b.GetInstance())
		})
	}
	return services
}

// withReachability returns an endpoint as this daemon can use it: a ready one whose daemon
// is out of reach or does not answer is suspect.
func (p *peer) withReachability(endpoint *lapisv1.Endpoint) *lapisv1.Endpoint {
	if (p.connected && !p.stalled) || endpoint.GetState() != lapisv1.Endpoint_STATE_READY {
		return endpoint
	}
	return &lapisv1.Endpoint{
		Service: endpoint.GetService(), Instance: endpoint.GetInstance(), Node: endpoint.GetNode(),
		Address: endpoint.GetAddress(), Zone: endpoint.GetZone(), Region: endpoint.GetRegion(), Incarnation: endpoint.GetIncarnation(),
		Version: endpoint.GetVersion(), Slots: endpoint.GetSlots(), State: lapisv1.Endpoint_STATE_SUSPECT,
	}
}

// report notifies the observer of changes until ctx ends.
func (f *Fleet) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reportDue:
		}
		endpoints, count := f.reportable()
		for service, known := range endpoints {
			f.config.Observer.Endpoints(service, known)
		}
		f.config.Observer.Members(count)
	}
}

// reportable returns the instances by service, with an empty list for a service that was
// reported before and has none now, and the number of daemons.
func (f *Fleet) reportable() (endpoints map[string][]*lapisv1.Endpoint, members int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	endpoints = f.endpoints()
	for service := range f.services {
		if _, ok := endpoints[service]; !ok {
			endpoints[service] = nil
		}
	}
	for service := range endpoints {
		f.services[service] = true
	}
	return endpoints, len(f.peers) + 1
}
