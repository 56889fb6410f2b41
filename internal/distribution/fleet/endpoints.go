package fleet

import (
	"context"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// SetLocalEndpoints replaces the instances on this machine and announces them on all inbound links.
// It keeps the slice and fills in the daemon's data.
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

// Endpoints returns the known instances of a service, ordered by name.
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

// announcement returns this daemon's announcement; the caller holds mutex.
func (f *Fleet) announcement() *lapisv1.Announcement {
	self := f.config.Self
	return &lapisv1.Announcement{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Region: self.Region, Incarnation: f.config.Incarnation,
		Revision: f.revision(), Endpoints: f.local, Withdrawn: f.withdrawn,
	}
}

// recordAnnouncement records another daemon's announcement that arrived on the link with the given
// generation. A late announcement from an earlier link is dropped.
func (f *Fleet) recordAnnouncement(peer *peer, generation uint64, announcement *lapisv1.Announcement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if announcement.GetNode() != peer.Node || generation != peer.generation {
		return
	}
	if region := announcement.GetRegion(); region != "" && region != peer.Region {
		// Directory entries may lack the region.
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

// endpoints returns all known instances by service, ordered by instance name; the caller holds
// mutex. It leaves out instances of daemons that are not chosen for a link, that are linked to only
// because they own allowances, or whose link has been lost for longer than endpointTTL.
func (f *Fleet) endpoints() map[string][]*lapisv1.Endpoint {
	services := map[string][]*lapisv1.Endpoint{}
	for _, endpoint := range f.local {
		services[endpoint.GetService()] = append(services[endpoint.GetService()], endpoint)
	}
	for _, peer := range f.peers {
		if peer.stopMaintaining == nil || peer.allowanceOnly || (!peer.connected && boottime.Since(peer.lostAt) > endpointTTL) {
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

// withReachability returns an endpoint with the state in which this daemon can use it: a ready
// instance is suspect while its daemon is disconnected or does not answer.
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
		for service, instances := range endpoints {
			f.config.Observer.Endpoints(service, instances)
		}
		f.config.Observer.Members(count)
	}
}

// reportable returns the instances by service and the number of daemons. A service that was
// reported before and has no instances now gets an empty list.
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

// readyInstances returns the number of instances that an announcement, which may be nil, names as ready.
func readyInstances(announcement *lapisv1.Announcement) int {
	ready := 0
	for _, endpoint := range announcement.GetEndpoints() {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			ready++
		}
	}
	return ready
}
