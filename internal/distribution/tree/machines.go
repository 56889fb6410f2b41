package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// listDrainHold is how long a daemon keeps a drain that a reader announced because the machine list
// shows the machine as leaving. Then the daemon announces its own state again, because the list may
// be wrong; while the list still shows the machine as leaving, the reader drains the endpoint again
// at once. It must be much larger than MachinesInterval, or a short absence from the list undoes a
// drain.
const listDrainHold = 30 * time.Second

// reconcileMachines compares the machine list with the endpoints. Those on a machine listed as
// leaving drain, because that is safe even if the list is wrong. Those on a machine missing from
// the list stay: the list lags, and a daemon that is lost is noticed by its parent.
func (n *Node) reconcileMachines(machines []objectapi.Machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leaving = map[string]bool{}
	for _, machine := range machines {
		if machine.State == objectapi.MachineLeaving {
			n.leaving[machine.Node] = true
		}
	}
	if len(n.leaving) == 0 {
		return
	}
	now := boottime.Now()
	for _, service := range n.registry.Services() {
		for _, statement := range n.registry.Service(service) {
			n.drainLeaving(statement, now)
		}
	}
}

// drainLeaving marks an endpoint on a leaving machine as draining; the caller holds mutex.
func (n *Node) drainLeaving(statement *lapisv1.Endpoint, now time.Time) {
	if !n.leaving[statement.GetNode()] || statement.GetState() != lapisv1.Endpoint_STATE_READY {
		return
	}
	if n.registry.Drain(statement, now) {
		n.endpointChanged(statement.GetService())
	}
}

// holdDrain announces this daemon's instances again listDrainHold after one of them was
// drained. When a reader drained it and the list no longer shows the machine as leaving,
// that ends the drain; a drain by this daemon is only repeated. The caller holds mutex.
func (n *Node) holdDrain(statement *lapisv1.Endpoint) {
	if statement.GetNode() != n.config.Node || statement.GetState() != lapisv1.Endpoint_STATE_DRAINING {
		return
	}
	time.AfterFunc(listDrainHold, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.announce()
	})
}
