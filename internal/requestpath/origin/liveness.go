package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file answers "is the instance up?". The answers are pure: what happened and the time are
// passed in. Whoever acts on them is in health.go (what calls show), crash.go (whether the
// process ended) and instance.go (heartbeats).
//
// There are three rules because three things are asked, and a wrong answer costs something
// else each time:
//
//   - May calls be sent to it? (reachability) A wrong "down" takes an instance's capacity away
//     until its next heartbeat, a wrong "up" costs each call that is sent there. Single calls
//     break for many reasons (a connection that was idle for too long, a reset), so that several
//     failures are needed, or one broken call together with a refused connection.
//   - Did the process end under its calls? (nextCrashCheck) The answer is counted against
//     every request that was in flight, and three of them hold a request back everywhere
//     (package quarantine). It must come before the broken call is answered, because the
//     caller's daemon decides by it whether to repeat. So it is asked with the first broken
//     call, and needs proof: all calls of the instance broke off and its port refuses.
//   - Is it heard? (isSilent, isForgotten, isPresent) An instance that hangs, or whose machine
//     is gone, breaks no calls and refuses no connection; only its heartbeats stay away.

// Constants of the reachability.
const (
	// downAfterFailures is the number of failed connections in a row after which an instance is
	// taken as down. It must be above 1: one connection may be lost on its way.
	downAfterFailures = 3
	// probeAfterBrokenCalls is the number of calls that broke off within brokenCallWindow, without an
	// answer in between, after which the instance is probed for a connection. Single calls break
	// because a connection was idle for too long or was reset.
	probeAfterBrokenCalls = 3
	brokenCallWindow      = 500 * time.Millisecond
	// minProbeInterval is the least time between two such probes. It must be longer than
	// backendDialTimeout, or probes of one instance overlap.
	minProbeInterval = 500 * time.Millisecond
)

// downCause is why an instance counts as down.
type downCause string

// Causes of being down, as they are logged.
const (
	downUnreachable downCause = "no_connections"
	downCallsBroken downCause = "calls_broke_off"
	downSilent      downCause = "no_heartbeats"
)

// evidence is what the end of a call says of its instance.
type evidence int

const (
	// evidenceNone: it says nothing, or what it says is known already.
	evidenceNone evidence = iota
	// evidenceAnswer: the instance answered.
	evidenceAnswer
	// evidenceNoConnection: no connection could be opened.
	evidenceNoConnection
	// evidenceCallBroken: the call was handed over and broke off.
	evidenceCallBroken
)

// evidenceOf returns what the end of a call, err or nil for an answer, says of its instance. A
// call that its caller gave up, or that ran out of time, says nothing; neither does one that
// ended in a crash, since the instance was probed already.
func evidenceOf(err error) evidence {
	switch {
	case err == nil:
		return evidenceAnswer
	case result.Is(err, result.CallInstanceCrashed):
		return evidenceNone
	case result.Is(err, result.CallNotRunUnreachable):
		return evidenceNoConnection
	case result.Is(err, result.CallDeadline) || result.Is(err, result.CallCancelled):
		return evidenceNone
	case callapi.OutcomeOf(err) == callapi.OutcomeUnknown:
		return evidenceCallBroken
	default:
		return evidenceNone
	}
}

// reachability is what calls lately showed of whether an instance can be reached. The zero
// value knows nothing. It is not safe for concurrent use.
type reachability struct {
	// failedConnections counts the connections in a row that could not be opened.
	failedConnections int
	// brokenCallTimes are the times of the calls that broke off since the last answer, within
	// brokenCallWindow.
	brokenCallTimes []time.Time
	// lastProbeAt is when the instance was probed last.
	lastProbeAt time.Time
}

// recordAnswer records that the instance is up.
func (r *reachability) recordAnswer() {
	r.failedConnections = 0
	r.brokenCallTimes = r.brokenCallTimes[:0]
}

// recordBrokenCall records that a call broke off. It reports whether the instance is to be probed:
// probeAfterBroken calls broke off lately, and it was not probed within probeSpacing.
func (r *reachability) recordBrokenCall(now time.Time) (probe bool) {
	r.pruneBrokenCalls(now)
	r.brokenCallTimes = append(r.brokenCallTimes, now)
	if len(r.brokenCallTimes) < probeAfterBrokenCalls || now.Sub(r.lastProbeAt) < minProbeInterval {
		return false
	}
	r.lastProbeAt = now
	return true
}

// recordFailedConnection records that a connection could not be opened. It reports whether the
// instance is down, and why. The conditions, in this order: refused after a call broke off
// lately, which one refusal proves; or downAfterFailures in a row, refused or not, since one that
// found no answer in time may be lost on its way.
func (r *reachability) recordFailedConnection(refused bool, now time.Time) (cause downCause, down bool) {
	r.pruneBrokenCalls(now)
	r.failedConnections++
	if refused && len(r.brokenCallTimes) > 0 {
		return downCallsBroken, true
	}
	return downUnreachable, r.failedConnections >= downAfterFailures
}

// pruneBrokenCalls drops the calls that broke off long ago.
func (r *reachability) pruneBrokenCalls(now time.Time) {
	for len(r.brokenCallTimes) > 0 && now.Sub(r.brokenCallTimes[0]) > brokenCallWindow {
		r.brokenCallTimes = r.brokenCallTimes[1:]
	}
}

// Constants of the finding that an instance crashed.
const (
	// crashPollInterval is how long after a call broke off the other calls of its instance
	// are looked at, and crashPolls how often at the most. When a process ended, all its calls
	// were noticed to break within 0.1 ms seven times, and within 1.6 and 5.3 ms once each, of
	// nine (log lines of daemons with a third of a core). A call that breaks alone is answered
	// later by all polls together.
	crashPollInterval = 2 * time.Millisecond
	maxCrashPolls     = 4
	// crashProbeTimeout bounds the probe for a connection. The instance is on the same machine,
	// where an ended one refuses within a millisecond. It must be below backendDialTimeout, since a
	// call waits for it.
	crashProbeTimeout = 100 * time.Millisecond
	// recentCallWindow is how long a call that ended without an answer counts as in flight: a
	// caller may give up before the instance ends under its call. A longer one suspects more
	// requests that had nothing to do with the crash, a shorter one misses the request whose caller
	// gave up first.
	recentCallWindow = 500 * time.Millisecond
	// maxRecentCalls bounds such calls, the oldest go first. It must be above the slots of an
	// instance (6 to 13 on the users' sites).
	maxRecentCalls = 64
)

// crashEvidence is what is known of an instance of which a call broke off.
type crashEvidence struct {
	// polls is how often the instance's calls were looked at; inFlight and reported are from the
	// last time: the calls that it still has, and whether another call found that it crashed.
	polls         int
	inFlight      int
	crashReported bool
	// probed is true once its port was probed, and refused tells whether it refused then, or
	// was found to by another call before.
	probed, refused bool
}

// crashCheck is what to do next to find out whether an instance crashed.
type crashCheck int

const (
	// crashPoll: wait for crashPollInterval and look at the instance's calls.
	crashPoll crashCheck = iota
	// crashProbe: find out whether its port refuses connections.
	crashProbe
	// crashConfirmed and crashExcluded end the search.
	crashConfirmed
	crashExcluded
)

// nextCrashCheck returns the next step. An instance crashed when all its calls broke off and its
// port refuses connections. Calls are looked at first, because that costs nothing: one that
// breaks while others go on is the usual case.
func nextCrashCheck(seen crashEvidence) crashCheck {
	switch {
	case seen.probed && seen.refused:
		return crashConfirmed
	case seen.probed:
		return crashExcluded
	case seen.polls == 0:
		return crashPoll
	case seen.inFlight == 0 || seen.crashReported:
		return crashProbe
	case seen.polls < maxCrashPolls:
		return crashPoll
	default:
		return crashExcluded
	}
}

// wasInFlight reports whether a call that ended without an answer counts as in flight now.
func wasInFlight(endedAt, now time.Time) bool { return now.Sub(endedAt) <= recentCallWindow }

// Times of heartbeats, all measured from the newest one by the steady clock: while the machine is
// suspended neither the instance nor this daemon runs. Instances send one every 1.5 s (the
// users' setting heartbeat-ms).
const (
	// presenceTimeout is how long an instance is taken as the one at its address, whatever a late
	// heartbeat of an earlier one says: three heartbeats. It must be below heartbeatSilence.
	presenceTimeout = 4500 * time.Millisecond
	// heartbeatTimeout is the time after which a registered instance is taken as down: four
	// heartbeats.
	heartbeatTimeout = 6 * time.Second
	// silentInstanceTTL is the time after which a silent instance is dropped; its next heartbeat
	// registers it anew. It must be above heartbeatSilence and below withdrawnMemory.
	silentInstanceTTL = time.Minute
)

// isPresent, isSilent and isForgotten tell what an instance counts as whose newest heartbeat
// is so old.
func isPresent(heartbeatAge time.Duration) bool { return heartbeatAge < presenceTimeout }
func isSilent(heartbeatAge time.Duration) bool  { return heartbeatAge > heartbeatTimeout }
func isExpired(heartbeatAge time.Duration) bool { return heartbeatAge > silentInstanceTTL }
