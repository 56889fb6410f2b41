package day

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/platform"
)

const (
	// defaultRegion is that of zones to which the options give none.
	defaultRegion = "region"
	// jam is the time by which requests may be held up on their way, on a busy
	// machine, and then arrive together with later ones.
	jam = 250 * time.Millisecond
	// crashFactor is at how many times its rate, and the slack, a cold instance crashes.
	crashFactor = 2
	// restartPause is the time from an instance's crash to its restart.
	restartPause = 100 * time.Millisecond
)

// Evacuate orders that the instances of a zone get no requests. The store has
// acknowledged the order when it returns.
func (s *Site) Evacuate(zone string) error {
	if err := s.Store.PutSpec(platform.KindEvacuations, zone, struct{}{}); err != nil {
		return err
	}
	s.Ledger.Evacuated(zone, time.Now())
	return nil
}

// EndEvacuation withdraws the order of Evacuate.
func (s *Site) EndEvacuation(zone string) {
	s.Ledger.EvacuationEnded(zone)
	s.Store.Remove(platform.KindEvacuations, zone)
}

// Zones returns the zones of the site, each once.
func (s *Site) Zones() []string {
	var zones []string
	for _, placement := range s.options.Machines {
		if !slices.Contains(zones, placement.Zone) {
			zones = append(zones, placement.Zone)
		}
	}
	return zones
}

// InZone returns the machines of a zone.
func (s *Site) InZone(zone string) []*Machine {
	var machines []*Machine
	for _, machine := range s.Machines {
		if machine.Zone == zone {
			machines = append(machines, machine)
		}
	}
	return machines
}

// MakeCold makes the instances of a zone cold.
func (s *Site) MakeCold(zone string) {
	for _, machine := range s.InZone(zone) {
		machine.Instance().MakeCold(s.options.ColdFor)
	}
}

// RestartZone crashes all instances of a zone at once; others start cold at their addresses.
func (s *Site) RestartZone(zone string, down time.Duration) error {
	machines := s.InZone(zone)
	failures := make([]error, len(machines))
	var restarts sync.WaitGroup
	for index, machine := range machines {
		restarts.Go(func() { failures[index] = machine.Restart(down) })
	}
	restarts.Wait()
	return errors.Join(failures...)
}

// ColdCrashes returns the number of instances that crashed in slow start, and the errors of all
// restarts after a crash.
func (s *Site) ColdCrashes() (count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.coldCrashes, s.restartFailure
}

// noteColdCrash counts an instance that crashes in slow start; it reports false once the site is
// closed.
func (s *Site) noteColdCrash() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.coldCrashes++
	}
	return !s.closed
}

func (s *Site) open() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.closed
}

func (s *Site) noteRestart(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restartFailure = errors.Join(s.restartFailure, err)
}

// crashedCold replaces an instance that crashes in slow start.
func (m *Machine) crashedCold(crashed *instance.Instance) {
	m.restart(crashed, m.site.noteColdCrash)
}

// restart ends an instance and starts another at its address, unless it has ended already or may
// reports false.
func (m *Machine) restart(ended *instance.Instance, may func() bool) {
	m.instanceLock.Lock()
	defer m.instanceLock.Unlock()
	if m.Instance() != ended || !may() {
		return
	}
	ended.Crash()
	time.Sleep(restartPause)
	m.site.noteRestart(m.startInstance(m.Service, ended.Address(), ended.ID(), cold))
}
