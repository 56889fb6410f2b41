package fleet

import "time"

// TestTimes checks the times of this file against each other and against the bound for a
// configuration, the setting platform.apply_bound (2 s unless set otherwise).

// Times of what is known of other daemons.
const (
	// connectTimeout bounds the dial of one link and its greeting. It must be larger than the time
	// that callmux gives the handshake below it (0.3 s), and smaller than
	// unansweredDialReplacedAfter.
	connectTimeout = time.Second
	// reconnectMin and reconnectMax bound the wait between two dials of one daemon, which doubles
	// from the one to the other.
	reconnectMin    = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 2
	// stableAfter is how long a link must have lasted for its loss to be answered by a dial at
	// once: where two names lead to one address, each dial displaces the other's link. It
	// must not be smaller than reconnectMax, the wait between dials of a daemon that is not there.
	stableAfter = time.Second
	// lostLinkReplacedAfter is how long a daemon that was in reach may be out of reach before
	// another one is linked to beside it. It must be larger than reconnectMax, so that the lost
	// daemon is dialed more than once before.
	lostLinkReplacedAfter = 3 * time.Second
	// unansweredDialReplacedAfter is that time for a daemon that was never in reach since it was
	// chosen. It must be larger than connectTimeout, so that the first dial has all its time.
	unansweredDialReplacedAfter = 1200 * time.Millisecond
	// reviewInterval is the longest time between two choices of the daemons to link to. It must be
	// smaller than unansweredDialReplacedAfter, which is noticed at a choice.
	reviewInterval = time.Second
	// endpointsForgottenAfter is how long the instances of a daemon that cannot be reached are
	// remembered, as suspect ones. It must be larger than lostLinkReplacedAfter.
	endpointsForgottenAfter = 30 * time.Second
	// withdrawnMemory is how long it is remembered that a daemon said that an instance left for
	// good. It must be longer than a heartbeat of an instance may be late, because a late one must
	// not bring the instance back.
	withdrawnMemory = 10 * time.Minute
	// displacedRecheck is how long a daemon is not dialed at an address where another one answered;
	// its directory entry may stay for good. It must be larger than directoryInterval, so that a
	// corrected entry is read before the dial.
	displacedRecheck = time.Minute
)

// Times of the catching up with a newer configuration. The answer of another daemon
// must come before this one polls the source itself: both together are smaller than
// configsource.EarliestPart of the bound for a configuration (0.8 s of 2 s).
const (
	// zoneWait is how long a daemon waits at most for one of its own zone to get a version that
	// only daemons of other zones have. The wait is drawn at random, so that about one daemon of a
	// zone fetches the version from another zone.
	zoneWait = 400 * time.Millisecond
	// answerWait is how long an asked daemon has before another one is asked. It must be larger
	// than a round trip between regions (40 ms) and the transfer of a configuration.
	answerWait = 250 * time.Millisecond
)

// How much newer a confirmation must be than the one that the peer stated before for a
// heartbeat to be sent ahead of the next regular one.
const (
	// zoneGain holds within a zone, where bytes are free. It is a quarter of the time after which a
	// daemon polls the source again (configsource.LeadPart of the bound).
	zoneGain = 100 * time.Millisecond
	// regionGain holds between the zones of a region, where bytes have a price. It is two
	// intervals of the regular heartbeats: one of a zone's several links to others brings a
	// confirmation soon, and the daemons of the zone pass it on.
	regionGain = 2 * time.Second
	// otherRegionGain holds between regions, where bytes cost almost four times as much. It is four
	// intervals of the regular heartbeats, which carry confirmations anyway. It must be larger than
	// regionGain.
	otherRegionGain = 4 * time.Second
)

// Times of the directory's use.
const (
	// directoryRetryMin and directoryRetryMax bound the wait after a failed call, which doubles
	// from the one to the other.
	directoryRetryMin = 200 * time.Millisecond
	directoryRetryMax = 2 * time.Second
	// relistMin is the time until the second list after this daemon was published; it doubles
	// with each further one, because daemons that start at the same time are missing from each
	// other's stale lists.
	relistMin = 250 * time.Millisecond
	// directoryInterval is the time between two lists; it may be long because each daemon also
	// greets those that it dials. It must be larger than directoryRetryMax.
	directoryInterval = 15 * time.Second
	// intervalPerMember makes that time longer where the list is long, so that the rate of entries
	// listed by one daemon is bounded by ten a second.
	intervalPerMember = 100 * time.Millisecond
	// maxListInterval, the interval of the largest fleet, bounds the doubling: without it the
	// duration overflowed after 10 minutes under virtual time, and the directory was then
	// listed without any wait.
	maxListInterval = maxMembers * intervalPerMember
)
