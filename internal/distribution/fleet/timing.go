package fleet

import "time"

// TestTimes checks the times of this file against each other and against the bound for a
// configuration, the setting platform.apply_bound (2 s unless set otherwise). Where
// three scores are given, they are of a quiet day, a day with faults and a day of growth in a
// small simulated fleet; 1 is the best.

// Times of what is known of other daemons.
const (
	// connectTimeout bounds the dial of one link and its greeting. Chosen, not measured; it
	// must be larger than the time that callmux gives the handshake below it (0.3 s), and
	// smaller than unansweredDialReplacedAfter.
	connectTimeout = time.Second
	// reconnectMin and reconnectMax bound the wait between two dials of one daemon, which
	// doubles from the one to the other. Chosen, not measured.
	reconnectMin    = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 2
	// stableAfter is how long a link must have lasted for its loss to be answered by a dial
	// at once. Where two names led to one address, each dial displaced the other's link:
	// 399,911 connections in a simulated day of a small fleet, which took 58.9 s of processor
	// time, and 3.9 s with this and the greeting's check of names. The second itself is
	// chosen, not measured; it must not be smaller than reconnectMax, the wait between dials
	// of a daemon that is not there.
	stableAfter = time.Second
	// lostLinkReplacedAfter is how long a daemon that was in reach may be out of reach
	// before another one is linked to beside it. Chosen, not measured; it must be larger
	// than reconnectMax, so that the lost daemon is dialed more than once before.
	lostLinkReplacedAfter = 3 * time.Second
	// unansweredDialReplacedAfter is that time for a daemon that was never in reach since
	// it was chosen. Chosen, not measured; it must be larger than connectTimeout, so that
	// the first dial has all its time.
	unansweredDialReplacedAfter = 1200 * time.Millisecond
	// reviewInterval is the longest time between two choices of the daemons to link to.
	// Chosen, not measured; it must be smaller than unansweredDialReplacedAfter, which is
	// noticed at a choice.
	reviewInterval = time.Second
	// endpointsForgottenAfter is how long the instances of a daemon that cannot be reached
	// are remembered, as suspect ones. Chosen, not measured; it must be larger than
	// lostLinkReplacedAfter.
	endpointsForgottenAfter = 30 * time.Second
	// withdrawnMemory is how long it is remembered that a daemon said that an instance left
	// for good. Chosen, not measured; it must be longer than a heartbeat of an instance may
	// be late, because a late one must not bring the instance back.
	withdrawnMemory = 10 * time.Minute
	// displacedRecheck is how long a daemon is not dialed at an address where another one
	// answered; its directory entry may stay for good. Chosen, not measured; it must be
	// larger than directoryInterval, so that a corrected entry is read before the dial.
	displacedRecheck = time.Minute
)

// Times of the catching up with a newer configuration. The answer of another daemon
// must come before this one polls the source itself: both together are smaller than
// configsource.EarliestPart of the bound for a configuration (0.8 s of 2 s).
const (
	// zoneWait is how long a daemon waits at most for one of its own zone to get a
	// version that only daemons of other zones have. The wait is drawn at random, so that
	// about one daemon of a zone fetches the version from another zone. Without the wait two
	// or three did; the scores were 0.702, 0.713, 0.789 without it and 0.708, 0.726, 0.786
	// with it. The 400 ms themselves are chosen, not measured.
	zoneWait = 400 * time.Millisecond
	// answerWait is how long an asked daemon has before another one is asked. Chosen, not
	// measured; it must be larger than a round trip between regions (40 ms) and the
	// transfer of a configuration.
	answerWait = 250 * time.Millisecond
)

// How much newer a confirmation must be than the one that the peer stated before for a
// heartbeat to be sent ahead of the next regular one.
const (
	// zoneGain holds within a zone, where bytes are free. It is a quarter of the time after
	// which a daemon polls the source again (configsource.LeadPart of the bound).
	// Chosen, not measured.
	zoneGain = 100 * time.Millisecond
	// regionGain holds between the zones of a region, where bytes have a price. It is two
	// intervals of the regular heartbeats: one of a zone's several links to others brings a
	// confirmation soon, and the daemons of the zone pass it on. The scores were 0.686, 0.708,
	// 0.777 with confirmations sent to other zones at once, and 0.702, 0.713, 0.789 with this.
	regionGain = 2 * time.Second
	// otherRegionGain holds between regions, where bytes cost almost four times as much.
	// It is four intervals of the regular heartbeats, which carry confirmations anyway.
	// Chosen, not measured; it must be larger than regionGain.
	otherRegionGain = 4 * time.Second
)

// Times of the directory's use.
const (
	// directoryRetryMin and directoryRetryMax bound the wait after a failed call, which
	// doubles from the one to the other. Chosen, not measured.
	directoryRetryMin = 200 * time.Millisecond
	directoryRetryMax = 2 * time.Second
	// relistMin is the time until the second list after this daemon was published; it doubles
	// with each further one, because daemons that start at the same time are missing from each
	// other's stale lists. Measured only together with starts that do not poll where others had
	// confirmed: the scores rose from 0.658, 0.696, 0.762 to 0.686, 0.708, 0.777.
	relistMin = 250 * time.Millisecond
	// directoryInterval is the time between two lists; it may be long because each daemon
	// also greets those that it dials. Chosen, not measured; it must be larger than
	// directoryRetryMax.
	directoryInterval = 15 * time.Second
	// intervalPerMember makes that time longer where the list is long, so that the rate of
	// entries listed by one daemon is bounded by ten a second. Chosen, not measured.
	intervalPerMember = 100 * time.Millisecond
	// maxListInterval, the interval of the largest fleet, bounds the doubling: without it the
	// duration overflowed after 10 minutes under virtual time, and the directory was then
	// listed without any wait.
	maxListInterval = maxMembers * intervalPerMember
)
