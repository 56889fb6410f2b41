package day

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/emulator/instance"
	"github.com/lapisvane/lapisvane/platform"
)

// versionInForce is that of the instances with which a site starts.
const versionInForce = "v1"

// Rollout orders that the calls of a service move to a version.
func (s *Site) Rollout(service, version string, duration time.Duration) error {
	return s.Store.PutSpec(platform.KindRollouts, service, platform.RolloutSpec{
		Service: service, Target: version, Duration: duration.Seconds(),
	})
}

// RolloutState returns what the status of a service's order says, empty for nothing.
func (s *Site) RolloutState(service string) string {
	for _, object := range s.Store.Objects(platform.KindRollouts) {
		if object.Metadata.Name == service {
			return platform.RolloutStateOf(object)
		}
	}
	return ""
}

// StartBeta starts an instance of a version beside each one of a service. It returns them.
func (s *Site) StartBeta(service, version string, behaviour instance.Behaviour) ([]*instance.Instance, error) {
	var started []*instance.Instance
	for _, machine := range s.OfService(service) {
		beta, err := machine.startBeta(version)
		if err != nil {
			return started, err
		}
		beta.Set(behaviour)
		started = append(started, beta)
	}
	return started, nil
}

// OfService returns the machines of a service.
func (s *Site) OfService(service string) []*Machine {
	var machines []*Machine
	for _, machine := range s.Machines {
		if machine.Service == service {
			machines = append(machines, machine)
		}
	}
	return machines
}

// startBeta starts an instance of another version beside the daemon.
func (m *Machine) startBeta(version string) (*instance.Instance, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	started, err := m.newInstance(m.Service, "", version, warm)
	if err == nil {
		m.beta = started
	}
	return started, err
}

// Beta returns the instance of the version that is rolled out, nil while there is none.
func (m *Machine) Beta() *instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.beta
}
