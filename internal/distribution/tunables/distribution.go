// Package tunables holds the settings of the distribution tree with their units, defaults and
// reasons, and Duration, the form of times in settings files. A profile is a set of values for one
// kind of site.
//
// The package has no state, goroutines, connections or files. Its tests check the relations between
// the values of each profile; package settings checks the values that a site overrides. All daemons
// of a site must use the same profile, because a link is closed when the peer sends less often than
// this daemon expects.
package tunables

import "time"

// Distribution holds the settings of the distribution tree. Its fields are the keys of the settings
// file below "distribution".
type Distribution struct {
	// Fanout is the maximum number of children of one daemon. 24 children at 300 B and 0.53 changes
	// per second use 4 KB/s of a budget of 20 KB/s.
	Fanout int `json:"fanout"`
	// MaxDepth is the maximum number of levels below a reader. 24 children on each of 6 levels are
	// far more than the daemons of a zone. A deeper tree made no clear difference to a restart of
	// many daemons.
	MaxDepth int `json:"max_depth"`
	// SeatsPerZone is the number of readers in each zone. With two, one may be lost; 19 zones then
	// keep 38 watches open, of the 40 that the object API is assumed to support.
	SeatsPerZone int `json:"seats_per_zone"`
	// SeatLease is the time after its last renewal at which the lease of a reader lapses. A zone
	// that loses both readers is served by readers of other zones, which takes 0.6 s; waiting for
	// the lease takes 7.3 s in all (400 daemons).
	SeatLease Duration `json:"seat_lease"`
	// DebounceQuiet is the time that a reader waits after an accepted revision for further ones to
	// merge with it. It differs between the profiles: 300 ms instead of 5 ms reduces the bytes for
	// each change and daemon by a fifth, from 271 to 215, and adds 0.3 s (1000 daemons in 4 zones
	// on one machine with 8 cores).
	DebounceQuiet Duration `json:"debounce_quiet"`
	// DebounceMax is the maximum total wait when revisions arrive continuously. It adds to the
	// convergence time.
	DebounceMax Duration `json:"debounce_max"`
	// EndpointDebounce is the time for which endpoint changes are collected at each hop. A drain is
	// delayed by it once per hop.
	EndpointDebounce Duration `json:"endpoint_debounce"`
	// HeartbeatInterval is the time without other frames after which a link sends a heartbeat. It
	// is longer in the profile that reduces control bytes.
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	// LinkIdleTimeout is the time without any frame after which a link is closed as lost. It is
	// three heartbeat intervals, so that one delayed frame does not close the link.
	LinkIdleTimeout Duration `json:"link_silence"`
	// DetachedGrace is the time for which a child keeps a parent that lost its path to a reader.
	// After the loss of a reader, all of 400 daemons had the next change within 0.1 s, so the
	// parent has usually found another path by then.
	DetachedGrace Duration `json:"detached_grace"`
	// SuspectAfter is the time for which a lost daemon's endpoints stay ready. It must be longer
	// than the time in which a daemon that lost its parent joins another one.
	SuspectAfter Duration `json:"suspect_after"`
	// GoneRetention is the time for which endpoints that are suspect or gone are kept, so that late
	// statements about them are recognized as outdated.
	GoneRetention Duration `json:"gone_after"`
	// StatusInterval is the minimum time between two status reports of a daemon. The report of a
	// whole site is delayed by one interval per level.
	StatusInterval Duration `json:"status_interval"`
	// JoinsPerSecond is the maximum rate at which a parent admits children. A higher rate made no
	// clear difference to a restart of many daemons.
	JoinsPerSecond float64 `json:"joins_per_second"`
	// CatchUpBytesPerSecond limits the rate of large updates sent by one parent. A higher rate made
	// no clear difference to a restart of many daemons.
	CatchUpBytesPerSecond float64 `json:"catch_up_bytes_per_second"`
	// CatchUpBurstBytes is the number of bytes of large updates that may be sent at once before the
	// rate applies. A full update of 950 services is 59 KB compressed.
	CatchUpBurstBytes int `json:"catch_up_burst_bytes"`
	// JoinBackoffMin and JoinBackoffMax limit the mean delay between two queries to the object API
	// by a daemon without a parent.
	JoinBackoffMin Duration `json:"join_backoff_min"`
	JoinBackoffMax Duration `json:"join_backoff_max"`
	// FirstSourceQueryMaxDelay is the maximum random delay before a daemon without a parent queries
	// the object API for the readers. 3 s instead of 1 s halved the queries of a cold start of
	// 19,000 simulated daemons (5,436 instead of 10,150), but delayed zones that lost both readers,
	// so it is 1 s.
	FirstSourceQueryMaxDelay Duration `json:"first_source_ask"`
	// InterestShrinkDelay is the time for which a daemon keeps services that no child needs
	// anymore. It must be longer than the time in which a restarted child is back.
	InterestShrinkDelay Duration `json:"interest_shrink_delay"`
	// MachinesInterval is the interval at which a reader reads the machine list. A machine listed
	// as leaving must drain within 3 s, which an interval of 5 s did not allow.
	MachinesInterval Duration `json:"machines_interval"`
}

// Convergence returns the profile for sites that prioritize convergence time.
func Convergence() Distribution {
	return Distribution{
		Fanout:                   24,
		MaxDepth:                 6,
		SeatsPerZone:             2,
		SeatLease:                Duration(6 * time.Second),
		DebounceQuiet:            Duration(5 * time.Millisecond),
		DebounceMax:              Duration(50 * time.Millisecond),
		EndpointDebounce:         Duration(20 * time.Millisecond),
		HeartbeatInterval:        Duration(time.Second),
		LinkIdleTimeout:          Duration(3 * time.Second),
		DetachedGrace:            Duration(1500 * time.Millisecond),
		SuspectAfter:             Duration(1500 * time.Millisecond),
		GoneRetention:            Duration(60 * time.Second),
		StatusInterval:           Duration(time.Second),
		JoinsPerSecond:           50,
		CatchUpBytesPerSecond:    64 << 10,
		CatchUpBurstBytes:        512 << 10,
		JoinBackoffMin:           Duration(50 * time.Millisecond),
		JoinBackoffMax:           Duration(2 * time.Second),
		FirstSourceQueryMaxDelay: Duration(time.Second),
		InterestShrinkDelay:      Duration(30 * time.Second),
		MachinesInterval:         Duration(time.Second),
	}
}

// Bytes returns the profile for sites that prioritize few control bytes: changes are collected for
// longer, and heartbeats and status reports are sent less often.
func Bytes() Distribution {
	distribution := Convergence()
	distribution.DebounceQuiet = Duration(300 * time.Millisecond)
	distribution.DebounceMax = Duration(1500 * time.Millisecond)
	distribution.EndpointDebounce = Duration(200 * time.Millisecond)
	distribution.HeartbeatInterval = Duration(2 * time.Second)
	distribution.LinkIdleTimeout = Duration(6 * time.Second)
	distribution.StatusInterval = Duration(3 * time.Second)
	return distribution
}
