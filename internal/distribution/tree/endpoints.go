package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/endpoint"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// SetLocalEndpoints announces the instances beside this daemon. Node, address, zone,
// incarnation and sequence are filled in by the node. An instance that is no longer
// named is announced as gone. It is safe for concurrent use.
func (n *Node) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	present := map[string]bool{}
	for _, statement := range endpoints {
		present[statement.GetService()+"/"+statement.GetInstance()] = true
	}
	for _, previous := range n.local {
		if !present[previous.GetService()+"/"+previous.GetInstance()] && previous.GetState() != lapisv1.Endpoint_STATE_GONE {
			endpoints = append(endpoints, &lapisv1.Endpoint{
				Service: previous.GetService(), Instance: previous.GetInstance(), State: lapisv1.Endpoint_STATE_GONE,
			})
		}
	}
	n.local = endpoints
	n.announce()
}

// announce sends all local endpoints again with new sequence numbers, so that they
// supersede what others say of them; the caller holds mutex.
func (n *Node) announce() {
	now := boottime.Now()
	for _, statement := range n.local {
		n.sequence++
		n.merge(&lapisv1.Endpoint{
			Service: statement.GetService(), Instance: statement.GetInstance(),
			Node: n.config.Node, Address: n.config.Address, Zone: n.config.Zone, Region: n.config.Region,
			Incarnation: n.config.Incarnation, Sequence: n.sequence,
			State: statement.GetState(), StartedUnixMillis: statement.GetStartedUnixMillis(),
		}, "", now)
	}
}

// mergeEndpoints applies statements that came through the named child, "" when they came
// from the parent or another reader; the caller holds mutex.
func (n *Node) mergeEndpoints(endpoints []*lapisv1.Endpoint, via string) {
	now := boottime.Now()
	refute := false
	for _, statement := range endpoints {
		if endpoint.MustRefute(statement, n.config.Node, n.config.Incarnation, n.local) {
			refute = true
			continue
		}
		n.merge(statement, via, now)
	}
	if refute {
		n.announce()
	}
}

// merge applies one statement and passes it on when it is new; the caller holds mutex.
func (n *Node) merge(statement *lapisv1.Endpoint, via string, now time.Time) {
	if !n.registry.Merge(statement, via, now) {
		return
	}
	n.holdDrain(statement)
	n.endpointChanged(statement.GetService())
	n.drainLeaving(statement, now)
}

// endpointChanged notifies the observer and schedules sending; the caller holds mutex.
func (n *Node) endpointChanged(service string) {
	if n.config.Interest.Has(service) {
		n.config.Observer.Endpoints(service, n.registry.Service(service))
	}
	n.scheduleFlush()
}

// scheduleFlush sends endpoint changes after EndpointDebounce; the caller holds mutex.
func (n *Node) scheduleFlush() {
	if n.flushScheduled {
		return
	}
	n.flushScheduled = true
	time.AfterFunc(n.config.Tunables.EndpointDebounce.Get(), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.flushScheduled = false
		n.flushed = n.registry.Change()
		n.wakeChildren()
		if n.parent != nil {
			n.parent.signal()
		}
		for _, link := range n.mesh {
			link.signal()
		}
	})
}

// dropUnknownEndpoints drops the entries of complete services that the parent no longer
// knows; the caller holds mutex.
func (n *Node) dropUnknownEndpoints(batch *lapisv1.EndpointBatch) {
	for _, service := range batch.GetCompleteServices() {
		before := n.registry.ServiceChange(service)
		n.registry.SetComplete(service, n.config.Node, batch.GetEndpoints())
		if n.registry.ServiceChange(service) != before {
			n.endpointChanged(service)
		}
	}
}

// Endpoints returns the known instances of a service, which must not be changed. It is safe for
// concurrent use.
func (n *Node) Endpoints(service string) []*lapisv1.Endpoint {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.registry.Service(service)
}

// lostEndpoint is an endpoint whose daemon may have ended, as it was announced last.
type lostEndpoint struct {
	key                   endpoint.Key
	incarnation, sequence uint64
}

// suspectLater marks the endpoints that came through a lost child as suspect after
// SuspectAfter, unless they are announced again before; the caller holds mutex.
func (n *Node) suspectLater(child string) {
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
