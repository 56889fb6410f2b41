package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// machineListDrainTTL is the time after which a daemon announces its own endpoint state again after
// a reader drained it because of the machine list. The list may be wrong, so the drain must not be
// permanent; while the list still reports the machine as leaving, the reader drains the endpoint
// again at once. It must be much larger than MachinesInterval, or a short absence from the list
// undoes a drain.
const machineListDrainTTL = 30 * time.Second

// reconcileMachines applies the machine list to the endpoints. Endpoints on a machine listed as
// leaving are drained, which is safe even if the list is wrong. Endpoints on a machine missing from
// the list are kept, because the list lags and the parent of a lost daemon detects the loss.
func (n *Node) reconcileMachines(machines []objectapi.Machine) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leavingMachines = map[string]bool{}
	for _, machine := range machines {
		if machine.State == objectapi.MachineLeaving {
			n.leavingMachines[machine.Node] = true
		}
	}
	if len(n.leavingMachines) == 0 {
		return
	}
	now := boottime.Now()
	for _, service := range n.registry.Services() {
		for _, statement := range n.registry.Service(service) {
			n.drainIfLeaving(statement, now)
		}
	}
}

// drainIfLeaving marks a ready endpoint as draining when its machine is leaving; the caller holds
// mutex.
func (n *Node) drainIfLeaving(statement *lapisv1.Endpoint, now time.Time) {
	if !n.leavingMachines[statement.GetNode()] || statement.GetState() != lapisv1.Endpoint_STATE_READY {
		return
	}
	if n.registry.Drain(statement, now) {
		n.endpointChanged(statement.GetService())
	}
}

// scheduleReannounce announces this daemon's instances again machineListDrainTTL after one of them
// was drained. This ends a drain by a reader unless the machine list still reports the machine as
// leaving; a drain by this daemon itself stays in force, because it is announced again. The caller
// holds mutex.
func (n *Node) scheduleReannounce(statement *lapisv1.Endpoint) {
	if statement.GetNode() != n.config.Node || statement.GetState() != lapisv1.Endpoint_STATE_DRAINING {
		return
	}
	time.AfterFunc(machineListDrainTTL, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.announce()
	})
}
