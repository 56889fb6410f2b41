// Package tunables holds the tunables of the distribution tree with their units, defaults
// and reasons, and Duration, the form of times in settings files. A profile is a set of
// values for a kind of site.
//
// It owns no state, goroutines, connections or files, and relies on package result alone.
//
// What must hold between the values of a profile is checked by this package's tests; package
// settings checks what a site overrides. All daemons of a site use the same profile, because a
// link is lost when the other side sends less often than this one expects.
package tunables

import "time"

// Distribution holds the tunables of the distribution tree. Its fields are the keys of the
// settings file below "distribution". Where a value is said to be chosen, no measurement set it.
type Distribution struct {
	// Fanout is the largest number of children of one daemon. By arithmetic: 24 children
	// at 300 B and 0.53 changes a second are 4 KB/s, of a budget of 20 KB/s.
	Fanout int `json:"fanout"`
	// MaxDepth is the largest number of levels below a reader. 24 children on each
	// of 6 levels are far more than a zone has. Trials with a deeper tree made no clear
	// difference to a restart of many daemons.
	MaxDepth int `json:"max_depth"`
	// SeatsPerZone is the number of readers in each zone. Chosen: one may be lost; 19
	// zones keep 38 watches open, of 40 that the object API is assumed to bear.
	SeatsPerZone int `json:"seats_per_zone"`
	// SeatLease is how long a reader's lease lasts without renewal. A zone that
	// lost both readers waited for it before readers of other zones served it (7.3 s in
	// all, 0.6 s since; 400 daemons).
	SeatLease Duration `json:"seat_lease"`
	// DebounceQuiet is how long a reader waits after an accepted revision for another
	// one to merge with it. Chosen for each profile: 300 ms instead of 5 ms saves a fifth
	// of the bytes for each change and daemon, 215 instead of 271, and adds 0.3 s (1000
	// daemons in 4 zones on one machine of 8 cores).
	DebounceQuiet Duration `json:"debounce_quiet"`
	// DebounceMax bounds the wait of DebounceQuiet when revisions keep coming. It
	// is a part of the convergence time.
	DebounceMax Duration `json:"debounce_max"`
	// EndpointDebounce is how long endpoint changes are gathered at each hop. It
	// counts once for each hop of a drain.
	EndpointDebounce Duration `json:"endpoint_debounce"`
	// HeartbeatInterval is the time after which a link on which nothing else was sent
	// carries a heartbeat. Rarer in the profile that weighs bytes.
	HeartbeatInterval Duration `json:"heartbeat_interval"`
	// LinkSilence is the time without any frame after which a link is lost. Chosen as
	// three heartbeats, so that a frame that is held up loses no link.
	LinkSilence Duration `json:"link_silence"`
	// DetachedGrace is how long a child stays with a parent that lost its own path to a
	// reader. After the loss of a reader all of 400 daemons had the next change
	// within 0.1 s, so that the parent has mostly found another one by then.
	DetachedGrace Duration `json:"detached_grace"`
	// SuspectAfter is how long a lost daemon's endpoints stay ready. Chosen, larger than
	// the time in which a daemon that lost its parent joins another.
	SuspectAfter Duration `json:"suspect_after"`
	// GoneAfter is how long suspect and ended endpoints are kept, so that late statements
	// about them are recognised.
	GoneAfter Duration `json:"gone_after"`
	// StatusInterval is the shortest time between two status reports of a daemon.
	// The report of a whole site is one interval old for each level.
	StatusInterval Duration `json:"status_interval"`
	// JoinsPerSecond bounds the children that a parent admits per second. Trials
	// with more made no clear difference to a restart of many daemons.
	JoinsPerSecond float64 `json:"joins_per_second"`
	// CatchUpBytesPerSecond bounds the large updates sent by one parent. Trials
	// with a higher rate made no clear difference to the same restart.
	CatchUpBytesPerSecond float64 `json:"catch_up_bytes_per_second"`
	// CatchUpBurstBytes may be sent at once before the rate applies. A full
	// update of 950 services is 59 KB compressed.
	CatchUpBurstBytes int `json:"catch_up_burst_bytes"`
	// JoinBackoffMin and JoinBackoffMax bound the middle of the wait between two queries of
	// a daemon without a parent to the object API.
	JoinBackoffMin Duration `json:"join_backoff_min"`
	JoinBackoffMax Duration `json:"join_backoff_max"`
	// FirstSourceAsk bounds the random wait before a daemon without a parent asks the object API
	// for the readers. 3 s instead of 1 s halved the queries of a cold start of 19,000 simulated
	// daemons, 10,150 to 5,436, but made zones that lost both readers slower, so it is 1 s.
	FirstSourceAsk Duration `json:"first_source_ask"`
	// InterestShrinkDelay is how long a daemon keeps services that no child wants any
	// more. Chosen, larger than the time in which a restarted child is back.
	InterestShrinkDelay Duration `json:"interest_shrink_delay"`
	// MachinesInterval is how often a reader reads the machine list. By arithmetic: a
	// machine listed as leaving must drain within 3 s, which 5 s did not allow.
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
