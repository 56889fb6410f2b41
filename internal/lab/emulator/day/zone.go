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
	// fallFactor is how many times its rate a cold instance bears, beside the slack.
	fallFactor = 2
	// fallPause is how long an instance that fell over is away.
	fallPause = 100 * time.Millisecond
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

// EndEvacuation takes the order back.
func (s *Site) EndEvacuation(zone string) {
	s.Ledger.TakenBack(zone)
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

// Chill makes the instances of a zone cold.
func (s *Site) Chill(zone string) {
	for _, machine := range s.InZone(zone) {
		machine.Instance().Chill(s.options.ColdFor)
	}
}

// RestartZone crashes all instances of a zone at once; others start cold at their
// addresses.
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

// Falls returns the number of instances that fell over, and what went wrong when
// they started again.
func (s *Site) Falls() (count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.falls, s.fallen
}

// fell takes in that an instance is falling over; it reports false once the site is
// closed.
func (s *Site) fell() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.falls++
	}
	return !s.closed
}

// open reports whether the site is not closed.
func (s *Site) open() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.closed
}

func (s *Site) noteFallen(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fallen = errors.Join(s.fallen, err)
}

// fell ends an instance that falls over and starts another at its address, unless
// it is gone already.
func (m *Machine) fell(fallen *instance.Instance) {
	m.restart(fallen, m.site.fell)
}

// restart ends an instance and starts another at its address, unless it is gone already or
// may says that it shall not.
func (m *Machine) restart(ended *instance.Instance, may func() bool) {
	m.beside.Lock()
	defer m.beside.Unlock()
	if m.Instance() != ended || !may() {
		return
	}
	ended.Crash()
	time.Sleep(fallPause)
	m.site.noteFallen(m.startInstance(m.Service, ended.Address(), cold))
}
