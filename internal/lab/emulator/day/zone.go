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
	// defaultRegion is the region of zones that Options.Regions does not contain.
	defaultRegion = "region"
	// maxRequestDelay is the maximum time by which a busy machine delays requests. Delayed requests
	// arrive together with later ones and so raise the rate at an instance.
	maxRequestDelay = 250 * time.Millisecond
	// coldCrashFactor is the multiple of the cold rate, plus the slack, above which a cold instance
	// crashes.
	coldCrashFactor = 2
	// restartDelay is the time between the crash of an instance and its restart.
	restartDelay = 100 * time.Millisecond
)

// Evacuate writes the order to evacuate a zone, whose instances then receive no more requests. The store
// has acknowledged the order when Evacuate returns.
func (s *Site) Evacuate(zone string) error {
	if err := s.Store.PutSpec(platform.KindEvacuations, zone, struct{}{}); err != nil {
		return err
	}
	s.Ledger.Evacuated(zone, time.Now())
	return nil
}

// EndEvacuation withdraws the order to evacuate a zone.
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

// MakeCold puts the instances of a zone into slow start.
func (s *Site) MakeCold(zone string) {
	for _, machine := range s.InZone(zone) {
		machine.Instance().MakeCold(s.options.ColdDuration)
	}
}

// RestartZone crashes all instances of a zone at the same time and restarts them cold after the
// downtime, at the same addresses.
func (s *Site) RestartZone(zone string, down time.Duration) error {
	machines := s.InZone(zone)
	failures := make([]error, len(machines))
	var restarts sync.WaitGroup
	for index, machine := range machines {
		restarts.Go(func() { failures[index] = machine.CrashInstance(down) })
	}
	restarts.Wait()
	return errors.Join(failures...)
}

// ColdCrashes returns the number of instances that crashed in slow start, and the joined errors of all
// restarts after a crash.
func (s *Site) ColdCrashes() (count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.coldCrashes, s.restartErrors
}

// recordColdCrash counts an instance that crashes in slow start. It reports false once the site is
// closed.
func (s *Site) recordColdCrash() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.coldCrashes++
	}
	return !s.closed
}

func (s *Site) isOpen() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.closed
}

func (s *Site) recordRestartError(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.restartErrors = errors.Join(s.restartErrors, err)
}

// restartAfterColdCrash restarts an instance that crashed in slow start.
func (m *Machine) restartAfterColdCrash(crashed *instance.Instance) {
	m.restart(crashed, m.site.recordColdCrash)
}

// restart crashes an instance and starts it again with the same address and id, unless it has already been
// replaced or allowed reports false.
func (m *Machine) restart(ended *instance.Instance, allowed func() bool) {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	if m.Instance() != ended || !allowed() {
		return
	}
	ended.Crash()
	time.Sleep(restartDelay)
	m.site.recordRestartError(m.startInstance(m.Service, ended.Address(), ended.ID(), cold))
}
