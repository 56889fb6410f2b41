package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/endpoint"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// SetLocalEndpoints announces the instances of this machine. The node fills in node, address, zone,
// region, incarnation and sequence. An instance that is no longer listed is announced as gone. It
// is safe for concurrent use.
func (n *Node) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	present := map[string]bool{}
	for _, statement := range endpoints {
		present[statement.GetService()+"/"+statement.GetInstance()] = true
	}
	for _, previous := range n.localEndpoints {
		if !present[previous.GetService()+"/"+previous.GetInstance()] && previous.GetState() != lapisv1.Endpoint_STATE_GONE {
			endpoints = append(endpoints, &lapisv1.Endpoint{
				Service: previous.GetService(), Instance: previous.GetInstance(), State: lapisv1.Endpoint_STATE_GONE,
			})
		}
	}
	n.localEndpoints = endpoints
	n.announce()
}

// announce sends all local endpoints again with new sequence numbers, so that they supersede the
// statements of other daemons about them; the caller holds mutex.
func (n *Node) announce() {
	now := boottime.Now()
	for _, statement := range n.localEndpoints {
		n.sequence++
		n.merge(&lapisv1.Endpoint{
			Service: statement.GetService(), Instance: statement.GetInstance(),
			Node: n.config.Node, Address: n.config.Address, Zone: n.config.Zone, Region: n.config.Region,
			Incarnation: n.config.Incarnation, Sequence: n.sequence,
			State: statement.GetState(), StartedUnixMillis: statement.GetStartedUnixMillis(),
		}, "", now)
	}
}

// mergeEndpoints applies the statements received through the child via, which is "" for the parent
// and other readers; the caller holds mutex.
func (n *Node) mergeEndpoints(endpoints []*lapisv1.Endpoint, via string) {
	now := boottime.Now()
	refute := false
	for _, statement := range endpoints {
		if endpoint.ShouldRefute(statement, n.config.Node, n.config.Incarnation, n.localEndpoints) {
			refute = true
			continue
		}
		n.merge(statement, via, now)
	}
	if refute {
		n.announce()
	}
}

// merge applies one statement and schedules sending it when it is new; the caller holds mutex.
func (n *Node) merge(statement *lapisv1.Endpoint, via string, now time.Time) {
	if !n.registry.Merge(statement, via, now) {
		return
	}
	n.scheduleReannounce(statement)
	n.endpointChanged(statement.GetService())
	n.drainIfLeaving(statement, now)
}

// endpointChanged notifies the observer and schedules sending the change; the caller holds mutex.
func (n *Node) endpointChanged(service string) {
	if n.config.Interest.Has(service) {
		n.config.Observer.Endpoints(service, n.registry.Service(service))
	}
	n.scheduleFlush()
}

// scheduleFlush schedules sending the endpoint changes after EndpointDebounce; the caller holds
// mutex.
func (n *Node) scheduleFlush() {
	if n.flushScheduled {
		return
	}
	n.flushScheduled = true
	time.AfterFunc(n.config.Tunables.EndpointDebounce.Get(), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.flushScheduled = false
		n.flushedChange = n.registry.Change()
		n.wakeChildren()
		if n.parent != nil {
			n.parent.signal()
		}
		for _, link := range n.mesh {
			link.signal()
		}
	})
}

// dropUnknownEndpoints removes the endpoints of complete services that the parent no longer lists;
// the caller holds mutex.
func (n *Node) dropUnknownEndpoints(batch *lapisv1.EndpointBatch) {
	for _, service := range batch.GetCompleteServices() {
		before := n.registry.ServiceChange(service)
		n.registry.SetComplete(service, n.config.Node, batch.GetEndpoints())
		if n.registry.ServiceChange(service) != before {
			n.endpointChanged(service)
		}
	}
}

// Endpoints returns the known instances of a service, which the caller must not modify. It is safe
// for concurrent use.
func (n *Node) Endpoints(service string) []*lapisv1.Endpoint {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.registry.Service(service)
}

// lostEndpoint identifies the last statement about an endpoint whose daemon lost its connection.
type lostEndpoint struct {
	key                   endpoint.Key
	incarnation, sequence uint64
}

// scheduleSuspicion marks the endpoints received through a lost child as suspect after
// SuspectAfter, unless they are announced again before then; the caller holds mutex.
func (n *Node) scheduleSuspicion(child string) {
	var lost []lostEndpoint
	for _, key := range n.registry.ChildLost(child) {
		if statement, ok := n.registry.Get(key); ok {
			lost = append(lost, lostEndpoint{key, statement.GetIncarnation(), statement.GetSequence()})
		}
	}
	if len(lost) == 0 {
		return
	}
	time.AfterFunc(n.config.Tunables.SuspectAfter.Get(), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		now := boottime.Now()
		for _, candidate := range lost {
			if n.registry.Suspect(candidate.key, candidate.incarnation, candidate.sequence, now) {
				n.endpointChanged(candidate.key.Service)
			}
		}
	})
}
