package objectapistub

import (
	"sort"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
)

// machineChange is a change of the machine list that becomes visible at visibleAt.
type machineChange struct {
	visibleAt time.Time
	machine   objectapi.Machine
	removed   bool
}

// machineList is the list of machines, which shows each change after a delay of lag.
type machineList struct {
	mutex   sync.Mutex
	lag     time.Duration
	frozen  bool
	pending []machineChange
	visible map[string]objectapi.Machine
}

func newMachineList(lag time.Duration) *machineList {
	return &machineList{lag: lag, visible: map[string]objectapi.Machine{}}
}

func (l *machineList) set(machine objectapi.Machine) {
	l.add(machineChange{machine: machine})
}

func (l *machineList) remove(node string) {
	l.add(machineChange{machine: objectapi.Machine{Node: node}, removed: true})
}

func (l *machineList) add(change machineChange) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change.visibleAt = time.Now().Add(l.lag)
	l.pending = append(l.pending, change)
}

func (l *machineList) setFrozen(frozen bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.frozen = frozen
}

func (l *machineList) list(zone string) []objectapi.Machine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applyDue(time.Now())
	machines := []objectapi.Machine{}
	for _, machine := range l.visible {
		if zone == "" || machine.Zone == zone {
			machines = append(machines, machine)
		}
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Node < machines[j].Node })
	return machines
}

// applyDue makes the due changes visible unless the list is frozen; the caller holds mutex.
func (l *machineList) applyDue(now time.Time) {
	if l.frozen {
		return
	}
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		change := l.pending[0]
		l.pending = l.pending[1:]
		if change.removed {
			delete(l.visible, change.machine.Node)
			continue
		}
		l.visible[change.machine.Node] = change.machine
	}
}
