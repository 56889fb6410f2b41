package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// listDrainHold is how long a daemon believes a reader that its machine is
// leaving, before it states its own view again. The list may be wrong; while
// it still shows the machine as leaving, the reader repeats itself at once.
const listDrainHold = 30 * time.Second

// reconcileMachines compares the machine list with what the daemons say. A
// machine listed as leaving drains, because that is safe even if the list is
// wrong. A machine missing from the list is not touched while its daemon is
// heard of: the list lags.
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

// drainLeaving marks an endpoint on a leaving machine as draining; the caller
// holds mutex.
func (n *Node) drainLeaving(statement *lapisv1.Endpoint, now time.Time) {
	if !n.leaving[statement.GetNode()] || statement.GetState() != lapisv1.Endpoint_STATE_READY {
		return
	}
	if n.registry.Drain(statement, now) {
		n.endpointChanged(statement.GetService())
	}
}

// believeDrain keeps a drain that a reader stated about an instance beside
// this daemon for listDrainHold; the caller holds mutex.
func (n *Node) believeDrain(statement *lapisv1.Endpoint) {
	if statement.GetNode() != n.config.Node || statement.GetState() != lapisv1.Endpoint_STATE_DRAINING {
		return
	}
	time.AfterFunc(listDrainHold, func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.announce()
	})
}
