// Package tunables names the tunables of distribution with their defaults,
// units and meaning. A profile is a set of values for a kind of site.
package tunables

import "time"

// Distribution holds the tunables of the distribution tree.
type Distribution struct {
	// Fanout is the largest number of children of one daemon.
	Fanout int `json:"fanout"`
	// MaxDepth is the largest number of levels below a reader.
	MaxDepth int `json:"max_depth"`
	// SeatsPerZone is the number of readers in each zone.
	SeatsPerZone int `json:"seats_per_zone"`
	// SeatLease is how long a reader's lease lasts without renewal.
	SeatLease Duration `json:"seat_lease"`
	// DebounceQuiet is how long a reader waits after an accepted revision for
	// another one to merge with it.
	DebounceQuiet Duration `json:"debounce_quiet"`
	// DebounceMax bounds the wait of DebounceQuiet when revisions keep coming.
	DebounceMax Duration `json:"debounce_max"`
	// EndpointDebounce is how long endpoint changes are gathered at each hop.
	EndpointDebounce Duration `json:"endpoint_debounce"`
	// HeartbeatInterval is the time between signs of life on a link.
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	// LinkSilence is the time without any frame after which a link is lost.
	LinkSilence Duration `json:"link_silence"`
	// DetachedGrace is how long a child stays with a parent that lost its own
	// way to a reader.
	DetachedGrace Duration `json:"detached_grace"`
	// SuspectAfter is how long a lost daemon's endpoints stay ready.
	SuspectAfter Duration `json:"suspect_after"`
	// GoneAfter is how long suspect endpoints are kept.
	GoneAfter Duration `json:"gone_after"`
	// StatusInterval is the shortest time between two status reports.
	StatusInterval Duration `json:"status_interval"`
	// JoinsPerSecond bounds the children that a parent admits per second.
	JoinsPerSecond float64 `json:"joins_per_second"`
	// CatchUpBytesPerSecond bounds full updates sent by one parent.
	CatchUpBytesPerSecond float64 `json:"catch_up_bytes_per_second"`
	// CatchUpBurstBytes may be sent at once before the rate applies.
	CatchUpBurstBytes int `json:"catch_up_burst_bytes"`
	// JoinBackoffMin and JoinBackoffMax bound the wait between two rounds of
	// looking for a parent.
	JoinBackoffMin Duration `json:"join_backoff_min"`
	JoinBackoffMax Duration `json:"join_backoff_max"`
	// FirstSourceAsk bounds the random wait before a daemon without a parent
	// asks the object API for the readers.
	FirstSourceAsk Duration `json:"first_source_ask"`
	// InterestShrinkDelay is how long a daemon keeps services that no child
	// wants any more.
	InterestShrinkDelay Duration `json:"interest_shrink_delay"`
	// MachinesInterval is how often a reader reads the machine list.
	MachinesInterval Duration `json:"machines_interval"`
}

// Convergence returns the values for sites that weigh convergence time.
func Convergence() Distribution {
	return Distribution{
		Fanout:                24,
		MaxDepth:              6,
		SeatsPerZone:          2,
		SeatLease:             Duration(6 * time.Second),
		DebounceQuiet:         Duration(5 * time.Millisecond),
		DebounceMax:           Duration(50 * time.Millisecond),
		EndpointDebounce:      Duration(20 * time.Millisecond),
		HeartbeatInterval:     Duration(time.Second),
		LinkSilence:           Duration(3 * time.Second),
		DetachedGrace:         Duration(1500 * time.Millisecond),
		SuspectAfter:          Duration(1500 * time.Millisecond),
		GoneAfter:             Duration(60 * time.Second),
		StatusInterval:        Duration(time.Second),
		JoinsPerSecond:        50,
		CatchUpBytesPerSecond: 64 << 10,
		CatchUpBurstBytes:     512 << 10,
		JoinBackoffMin:        Duration(50 * time.Millisecond),
		JoinBackoffMax:        Duration(2 * time.Second),
		FirstSourceAsk:        Duration(time.Second),
		InterestShrinkDelay:   Duration(30 * time.Second),
		MachinesInterval:      Duration(time.Second),
	}
}

// Bytes returns the values for sites that weigh control bytes: changes are
// gathered for longer, and heartbeats and status reports are rarer.
func Bytes() Distribution {
	distribution := Convergence()
	distribution.DebounceQuiet = Duration(300 * time.Millisecond)
	distribution.DebounceMax = Duration(1500 * time.Millisecond)
	distribution.EndpointDebounce = Duration(200 * time.Millisecond)
	distribution.HeartbeatInterval = Duration(2 * time.Second)
	distribution.LinkSilence = Duration(6 * time.Second)
	distribution.StatusInterval = Duration(3 * time.Second)
	return distribution
}
