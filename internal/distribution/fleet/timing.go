package fleet

import "time"

// TestTimes checks the constants in this file against each other and against platform.apply_bound,
// the time within which a configuration must be applied (2 s by default).

// Times for links and for the records of other daemons.
const (
	// connectTimeout bounds the dial and the greeting of one link. It must be longer than callmux's
	// handshake timeout (0.3 s), and shorter than dialReplaceTimeout.
	connectTimeout = time.Second
	// reconnectMin and reconnectMax bound the wait between dials of one daemon, which doubles from
	// the one to the other.
	reconnectMin    = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 2
	// minStableDuration is how long a link must have lasted to be dialed again at once after its
	// loss. If two names lead to one address, each dial displaces the other's link. It must not be
	// shorter than reconnectMax, the wait between dials of an unreachable daemon.
	minStableDuration = time.Second
	// lostLinkReplaceTimeout is how long a daemon may be unreachable after its link was lost before
	// another daemon is linked to in addition. It must be longer than reconnectMax, so that the
	// lost daemon is dialed more than once before that.
	lostLinkReplaceTimeout = 3 * time.Second
	// dialReplaceTimeout is that time for a daemon that has not been reached since it was chosen.
	// It must be longer than connectTimeout, so that the first dial can use its full timeout.
	dialReplaceTimeout = 1200 * time.Millisecond
	// maxReviewInterval is the maximum time between two reviews of the links. It must be shorter
	// than dialReplaceTimeout, whose expiry only a review detects.
	maxReviewInterval = time.Second
	// endpointTTL is how long the instances of an unreachable daemon are kept as suspect. It must
	// be longer than lostLinkReplaceTimeout.
	endpointTTL = 30 * time.Second
	// withdrawnTTL is how long a daemon's report is kept that an instance left for good. It must be
	// longer than the maximum delay of an instance's heartbeat, because a late heartbeat must not
	// bring the instance back.
	withdrawnTTL = 10 * time.Minute
	// displacedRetryInterval is how long a daemon is not dialed at an address where another one
	// answered; its directory entry may stay there for good. It must be longer than
	// directoryInterval, so that a corrected entry is read before the next dial.
	displacedRetryInterval = time.Minute
)

// Times for catching up with a newer configuration. Another daemon's answer must come before this
// daemon polls the source itself: the sum of the times must be smaller than
// configsource.StandbyPollMinFraction of platform.apply_bound (0.8 s of 2 s).
const (
	// maxZoneWait is the maximum wait for another daemon of the own zone to get a version that only
	// daemons of other zones have. The wait is random, so that about one daemon per zone fetches
	// the version from another zone.
	maxZoneWait = 400 * time.Millisecond
	// answerTimeout is how long to wait for an answer before another daemon is asked. It must be
	// longer than a round trip between regions (40 ms) plus the transfer of a configuration.
	answerTimeout = 250 * time.Millisecond
)

// Minimum age differences for early heartbeats: by how much a confirmation must be newer than the
// one that the peer stated last to be sent ahead of the next regular heartbeat.
const (
	// minGainInZone applies within a zone, where traffic is free. It is a quarter of the time after
	// which a daemon polls the source again (configsource.ActivePollFraction of
	// platform.apply_bound).
	minGainInZone = 100 * time.Millisecond
	// minGainInRegion applies between the zones of a region, where traffic is billed. It is two
	// regular heartbeat intervals: within that time one of a zone's links to other zones usually
	// brings a confirmation, which the daemons of the zone forward.
	minGainInRegion = 2 * time.Second
	// minGainAcrossRegions applies between regions, where traffic costs almost four times as much.
	// It is four regular heartbeat intervals; the regular heartbeats carry confirmations anyway. It
	// must be longer than minGainInRegion.
	minGainAcrossRegions = 4 * time.Second
)

// Times for the use of the directory.
const (
	// directoryRetryMin and directoryRetryMax bound the wait after a failed call, which doubles
	// from the one to the other.
	directoryRetryMin = 200 * time.Millisecond
	directoryRetryMax = 2 * time.Second
	// relistMin is the wait after the first list that was not enough. It doubles with each further
	// one, because daemons that start at the same time are missing from each other's stale lists.
	relistMin = 250 * time.Millisecond
	// directoryInterval is the regular time between two lists. It may be long, because daemons also
	// learn of each other by greetings and by the exchange of members; lists join parts of a fleet
	// that know nothing of each other. It must be longer than directoryRetryMax.
	directoryInterval = 15 * time.Second
	// intervalPerMember extends that time for large fleets, so that all daemons together read at most
	// ten pages per second.
	intervalPerMember = 100 * time.Millisecond
	// maxListInterval is the interval of the largest fleet. It bounds the doubling, which otherwise
	// overflowed the duration after 10 minutes of virtual time, so that the directory was listed
	// without any wait.
	maxListInterval = maxMembers * intervalPerMember
)
