package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file holds the rules that decide whether an instance is up. The functions are pure: events
// and times are passed in. They are applied in health.go (results of calls), crash.go (whether the
// process ended) and instance.go (heartbeats).
//
// There are three rules, because they answer different questions and a wrong result has a different
// cost:
//
//   - May calls be sent to the instance (reachability)? A wrong "down" removes the capacity of an
//     instance until its next heartbeat; a wrong "up" fails each call that is sent there. Single
//     calls break off for many reasons (a connection that was idle for too long, a reset), so
//     several failures are needed, or one broken call together with a refused connection.
//   - Did the process end during its calls (nextCrashCheck)? A crash is counted against every
//     request that was in flight, and three crashes quarantine a request at all daemons (package
//     quarantine). The result must be known before the broken call is answered, because the
//     caller's daemon uses it to decide on a retry. The check therefore starts with the first
//     broken call and needs proof: all calls of the instance broke off and its port refuses
//     connections.
//   - Does the instance send heartbeats (isSilent, isExpired, isPresent)? An instance that hangs,
//     or whose machine has failed, breaks no calls and refuses no connections; only its heartbeats
//     stop.

// Constants of the reachability rule.
const (
	// downAfterFailures is the number of consecutive failed connections after which an instance is
	// marked as down. It must be above 1, because a single connection attempt may be lost.
	downAfterFailures = 3
	// probeAfterBrokenCalls is the number of calls that break off within brokenCallWindow, without
	// a response in between, after which the instance is probed for a connection. Single calls
	// break off because a connection was idle for too long or was reset.
	probeAfterBrokenCalls = 3
	brokenCallWindow      = 500 * time.Millisecond
	// minProbeInterval is the minimum time between two such probes. It must be above
	// backendDialTimeout, or probes of one instance overlap.
	minProbeInterval = 500 * time.Millisecond
)

// downCause is why an instance counts as down.
type downCause string

// Causes of being down, as written to the log.
const (
	downUnreachable downCause = "no_connections"
	downCallsBroken downCause = "calls_broke_off"
	downSilent      downCause = "no_heartbeats"
)

// evidence is what the result of a call shows about its instance.
type evidence int

const (
	// evidenceNone: the result shows nothing, or nothing new.
	evidenceNone evidence = iota
	// evidenceAnswer: the instance answered.
	evidenceAnswer
	// evidenceNoConnection: no connection could be opened.
	evidenceNoConnection
	// evidenceCallBroken: the call was sent and broke off.
	evidenceCallBroken
)

// evidenceOf returns the evidence in the result of a call; err is nil for a response. A call that
// its caller cancelled, or whose deadline passed, shows nothing; neither does one that ended in a
// crash, because the instance was already probed.
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

// reachability holds the recent evidence from calls of whether an instance can be reached. The zero
// value holds none. It is not safe for concurrent use.
type reachability struct {
	// failedConnections counts the consecutive connections that could not be opened.
	failedConnections int
	// brokenCallTimes are the times of the calls that broke off since the last response, within
	// brokenCallWindow.
	brokenCallTimes []time.Time
	// lastProbeAt is when the instance was last probed.
	lastProbeAt time.Time
}

// recordAnswer records that the instance is up.
func (r *reachability) recordAnswer() {
	r.failedConnections = 0
	r.brokenCallTimes = r.brokenCallTimes[:0]
}

// recordBrokenCall records that a call broke off. It reports whether to probe the instance:
// probeAfterBrokenCalls calls broke off recently, and there was no probe within minProbeInterval.
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
// instance is down, and the cause. The conditions apply in this order: the connection was refused
// after a call broke off recently, for which one refusal is proof; or downAfterFailures consecutive
// connections failed for any reason, because one that timed out may have been lost in transit.
func (r *reachability) recordFailedConnection(refused bool, now time.Time) (cause downCause, down bool) {
	r.pruneBrokenCalls(now)
	r.failedConnections++
	if refused && len(r.brokenCallTimes) > 0 {
		return downCallsBroken, true
	}
	return downUnreachable, r.failedConnections >= downAfterFailures
}

// pruneBrokenCalls removes the calls that broke off longer than brokenCallWindow ago.
func (r *reachability) pruneBrokenCalls(now time.Time) {
	for len(r.brokenCallTimes) > 0 && now.Sub(r.brokenCallTimes[0]) > brokenCallWindow {
		r.brokenCallTimes = r.brokenCallTimes[1:]
	}
}

// Constants of the crash rule.
const (
	// crashPollInterval is the time between a broken call and the first poll of the other calls of
	// its instance, and between polls; maxCrashPolls is the maximum number of polls. Of nine
	// processes that ended, all calls were seen to break off within 0.1 ms for seven, and within
	// 1.6 and 5.3 ms for one each (log lines of daemons with a third of a core). All polls together
	// delay the answer to a call that breaks off alone.
	crashPollInterval = 2 * time.Millisecond
	maxCrashPolls     = 4
	// crashProbeTimeout limits the connection probe. The instance is on the same machine, where the
	// port of an ended process refuses within a millisecond. It must be below backendDialTimeout,
	// because a call waits for the probe.
	crashProbeTimeout = 100 * time.Millisecond
	// recentCallWindow is how long a call that ended without a response counts as in flight,
	// because a caller may give up before the instance ends during its call. A longer window
	// suspects more requests that were unrelated to the crash; a shorter one misses the request
	// whose caller gave up first.
	recentCallWindow = 500 * time.Millisecond
	// maxRecentCalls limits the number of such calls; the oldest are dropped first. It must be
	// above the slots of an instance (6 to 13 on the users' sites).
	maxRecentCalls = 64
)

// crashEvidence is the evidence of a crash, collected after a call to an instance broke off.
type crashEvidence struct {
	// polls is the number of polls of the instance's calls. inFlight and crashReported are from the
	// last poll: the number of calls still in flight, and whether another call detected a crash.
	// takenOver is true if another process has the instance's address.
	polls         int
	inFlight      int
	crashReported bool
	takenOver     bool
	// probed is true once the port was probed; refused is true if it refused the connection, then
	// or in an earlier probe of another call, or if another process has the address.
	probed, refused bool
}

// crashCheck is the next step to find out whether an instance crashed.
type crashCheck int

const (
	// crashPoll: wait for crashPollInterval and poll the instance's calls.
	crashPoll crashCheck = iota
	// crashProbe: check whether its port refuses connections.
	crashProbe
	// crashConfirmed and crashExcluded are the two results.
	crashConfirmed
	crashExcluded
)

// nextCrashCheck returns the next step. An instance crashed if all its calls broke off and its port
// refuses connections, or if a call broke off and another process has its address. Calls are polled
// first because that is cheap, and because usually one call breaks off while others continue.
func nextCrashCheck(seen crashEvidence) crashCheck {
	switch {
	case seen.probed && seen.refused:
		return crashConfirmed
	case seen.probed:
		return crashExcluded
	case seen.polls == 0:
		return crashPoll
	case seen.inFlight == 0 || seen.crashReported || seen.takenOver:
		return crashProbe
	case seen.polls < maxCrashPolls:
		return crashPoll
	default:
		return crashExcluded
	}
}

// wasInFlight reports whether a call that ended without a response counts as in flight now.
func wasInFlight(endedAt, now time.Time) bool { return now.Sub(endedAt) <= recentCallWindow }

// Limits of the age of the latest heartbeat, measured by the monotonic clock: while the machine is
// suspended neither the instance nor this daemon runs. Instances send a heartbeat every 1.5 s (the
// users' setting heartbeat-ms).
const (
	// presenceTimeout is how long an instance counts as the present one at its address, regardless
	// of delayed heartbeats of earlier ones: three heartbeats. It must be below heartbeatTimeout.
	presenceTimeout = 4500 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a registered instance is marked
	// as down: four heartbeats.
	heartbeatTimeout = 6 * time.Second
	// silentInstanceTTL is the time without a heartbeat after which an instance is dropped; its
	// next heartbeat registers it again. It must be above heartbeatTimeout and below departure.TTL.
	silentInstanceTTL = time.Minute
)

// isPresent, isSilent and isExpired classify an instance by the age of its latest heartbeat.
func isPresent(heartbeatAge time.Duration) bool { return heartbeatAge < presenceTimeout }
func isSilent(heartbeatAge time.Duration) bool  { return heartbeatAge > heartbeatTimeout }
func isExpired(heartbeatAge time.Duration) bool { return heartbeatAge > silentInstanceTTL }
