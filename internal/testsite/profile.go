package testsite

import (
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/settings"
)

// Profile is the shape of a site: its sizes, delays and limits.
type Profile struct {
	Name string
	// Zones are the names of the zones.
	Zones []string
	// ZoneDelay is the one-way delay between zones. Experiments on distribution
	// apply it; those on the request path run without delays.
	ZoneDelay time.Duration
	// Services gives the number of instances of each service.
	Services []ServiceShape
	// Slots, Connections and ConnectionCost are the limits of each instance.
	Slots, Connections int
	ConnectionCost     time.Duration
	ServiceTime        time.Duration
	// Distribution names the tunables: convergence or bytes.
	Distribution string
	MachineLag   time.Duration
	StopLimit    features.Duration
	Seed         uint64
}

// ServiceShape is a service with its number of instances.
type ServiceShape struct {
	Name      string
	Instances int
}

// Names of the profiles.
const (
	ProfileSwancycle = "swancycle"
	ProfileBoard     = "board"
)

// Swancycle is the shape of a bicycle rental with four zones in one city,
// which weighs convergence time.
func Swancycle() Profile {
	return Profile{
		Name: ProfileSwancycle, Zones: []string{"perth-1", "perth-2", "perth-3", "perth-4"},
		ZoneDelay: 500 * time.Microsecond,
		Services:  []ServiceShape{{"ride-desk", 7}, {"fleet-yard", 5}},
		Slots:     6, Connections: 130, ConnectionCost: time.Millisecond, ServiceTime: 5 * time.Millisecond,
		Distribution: settings.ProfileConvergence, MachineLag: 2 * time.Second,
		StopLimit: features.Duration(time.Minute), Seed: 1,
	}
}

// Board is the shape of an ordering platform with four zones in one region,
// which weighs control bytes.
func Board() Profile {
	return Profile{
		Name: ProfileBoard, Zones: []string{"de-cymru-1", "de-cymru-2", "de-cymru-3", "de-cymru-4"},
		ZoneDelay: 1500 * time.Microsecond,
		Services:  []ServiceShape{{"archeb", 7}, {"ffeiliau", 5}},
		Slots:     6, Connections: 130, ConnectionCost: time.Millisecond,
		ServiceTime:  5 * time.Millisecond,
		Distribution: settings.ProfileBytes, MachineLag: 2 * time.Second,
		StopLimit: features.Duration(time.Minute), Seed: 1,
	}
}

// ProfileNamed returns the named profile; ok is false for an unknown name.
func ProfileNamed(name string) (profile Profile, ok bool) {
	switch name {
	case ProfileSwancycle:
		return Swancycle(), true
	case ProfileBoard:
		return Board(), true
	default:
		return Profile{}, false
	}
}

func SplitBackend(name string) (service, instance string) {
	service, instance, _ = strings.Cut(name, "/")
	return service, instance
}
