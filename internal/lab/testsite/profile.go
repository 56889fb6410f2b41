package testsite

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// Profile holds the sizes, delays and limits of a site.
type Profile struct {
	Name string
	// Zones are the names of the zones.
	Zones []string
	// Slots, Connections and ConnectionCost are the limits of each instance.
	Slots, Connections int
	ConnectionCost     time.Duration
	ServiceTime        time.Duration
	// Distribution is the profile of the distribution settings: convergence or bytes.
	Distribution string
	MachineLag   time.Duration
	StopLimit    tunables.Duration
	Seed         uint64
}

// Swancycle is the profile of a bicycle rental with four zones in one city. Its
// distribution settings favour convergence time over bytes.
func Swancycle() Profile {
	return Profile{
		Name: "swancycle", Zones: []string{"perth-1", "perth-2", "perth-3", "perth-4"},
		Slots: 6, Connections: 130, ConnectionCost: time.Millisecond, ServiceTime: 5 * time.Millisecond,
		Distribution: settings.ProfileConvergence, MachineLag: 2 * time.Second,
		StopLimit: tunables.Duration(time.Minute), Seed: 1,
	}
}
