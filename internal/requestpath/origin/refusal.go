package origin

import (
	"net/http"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file holds the conditions under which the instance's daemon refuses a call, and the time
// after which its caller may retry. All functions are pure. handle.go checks the conditions in this
// order, and each refusal proves that the call did not run:
//
//	on arrival       the instance is not local (unknownRefusal)
//	                 the daemon ends before the call must be over (checkShutdown)
//	                 the call may not run in this region (checkRegion)
//	                 the attempt or the idempotency key was received before (dedup.go)
//	in the queue     the instance drains or is down (drainRefusal, downRefusal), the call is too
//	                 late, the instance's rate limit is exhausted, or its wait would be too long
//	                 (package admission)
//	with its slot    the timeout of the call passed while the machine was suspended
//	                 (checkSuspended)
//	                 instances crashed during such calls (quarantine.go)
//	                 the daemon ends before the call must be over: checked again, because it may
//	                 have begun to stop while the call waited
//	                 a newer configuration than the one that admitted the call lacks its key
//	                 (checkKey): checked last, so that no wait outlasts a revocation
//	                 the caller's daemon has fenced the attempt (dedup.go)
//	at the instance  the instance refused the call itself (instanceRefusal)
//
// Conditions that are cheap to check and do not change while a call waits are checked before the
// call enters the queue. An attempt is recorded only after the conditions on which another daemon
// would decide the same way.
//
// The retry delay (result.Error.RetryAfter, 0 if unknown) is set by package admission for load and
// pace, by the registry for a quarantined call, and by the instance for its own refusals. All other
// refusals leave it at 0: the caller's daemon should try another instance at once.

// unknownRefusal returns the error for a call whose instance is not local; withdrawn is true for an
// instance that was local and left permanently.
func unknownRefusal(open *lapisv1.CallOpen, withdrawn bool) *result.Error {
	if withdrawn {
		return result.Errorf(result.CallNotRunDraining, "instance %s has left", open.GetInstance())
	}
	return result.Errorf(result.CallNotRunUnknownHere, "instance %s/%s is not local to this daemon", open.GetService(), open.GetInstance())
}

// callTimeout returns how long a call may last from its arrival on; 0 for one without a deadline.
func callTimeout(open *lapisv1.CallOpen) time.Duration {
	return time.Duration(open.GetDeadlineMillis()) * time.Millisecond
}

// checkShutdown refuses a call, which arrived at the given time, that may continue after
// shutdownDeadline; that is zero while the daemon is not stopping. A call without a deadline may
// always continue. Errors: CallNotRunStopping.
func checkShutdown(open *lapisv1.CallOpen, arrivedAt, shutdownDeadline time.Time) error {
	if shutdownDeadline.IsZero() {
		return nil
	}
	if timeout := callTimeout(open); timeout == 0 || arrivedAt.Add(timeout).After(shutdownDeadline) {
		return result.Errorf(result.CallNotRunStopping, "the daemon stops before the deadline of the call")
	}
	return nil
}

// checkRegion refuses a call that may not run in the daemon's region; if the region is unknown, any
// call with a list of allowed regions. Neither changes while the call waits. Errors:
// CallNotRunRegion.
func checkRegion(open *lapisv1.CallOpen, region string) error {
	allowed := open.GetAllowedRegions()
	if len(allowed) == 0 || (region != "" && slices.Contains(allowed, region)) {
		return nil
	}
	return result.Errorf(result.CallNotRunRegion, "the call may run in regions %q, the instance is in %q", allowed, region)
}

// checkSuspended refuses a call whose timeout passed because the machine was suspended while it
// waited: the monotonic clock that limits its wait was stopped, and its caller has given up.
// queueTime is measured by that clock, and suspended is the time for which it was stopped. Errors:
// CallNotRunExpired.
func checkSuspended(open *lapisv1.CallOpen, queueTime, suspended time.Duration) error {
	timeout := callTimeout(open)
	if suspended > 0 && timeout > 0 && queueTime+suspended >= timeout {
		return result.Errorf(result.CallNotRunExpired, "the machine was suspended for %s while the call waited", suspended)
	}
	return nil
}

// checkKey refuses a call whose API key was revoked after the call was admitted. A configuration
// that is not newer than the one that admitted the call, or none at all, proves nothing. Errors:
// CallUnknownKey.
func checkKey(open *lapisv1.CallOpen, current *snapshot.Snapshot) error {
	digest := open.GetKeyDigest()
	if len(digest) == 0 || current == nil || current.Revision <= open.GetRouteRevision() || current.Accounts.Authorizes(digest) {
		return nil
	}
	return result.Errorf(result.CallUnknownKey, "the API key was revoked in revision %d", current.Revision)
}

// drainRefusal returns the error for calls to an instance that drains for a reason. The codes
// differ because callers react differently: a stopping daemon and an evacuated zone affect all
// their instances.
func drainRefusal(instance string, reason DrainReason) *result.Error {
	switch reason {
	case DrainStop:
		return result.Errorf(result.CallNotRunStopping, "instance %s is draining (%s)", instance, reason)
	case DrainEvacuated:
		return result.Errorf(result.CallNotRunEvacuated, "the zone of instance %s is evacuated", instance)
	default:
		return result.Errorf(result.CallNotRunDraining, "instance %s is draining (%s)", instance, reason)
	}
}

// downRefusal returns the error for calls to an instance that is down.
func downRefusal(instance string, cause downCause) *result.Error {
	return result.Errorf(result.CallNotRunUnreachable, "instance %s is down (%s)", instance, cause)
}

// freeSlotRetryDelay is the retry delay after an instance refused a call although it had a free
// slot. The instance is not overloaded, so a longer delay would not help; without any delay callers
// would retry in a tight loop.
const freeSlotRetryDelay = 20 * time.Millisecond

// instanceRefusal returns the error for a response which states that the instance did not run the
// request (the NotRun field of the envelope, with status 503 or 429); nil for any other response.
// hadFreeSlot is true if the instance had a free slot.
func instanceRefusal(response *http.Response, envelope *callapi.Envelope, hadFreeSlot bool) error {
	if response.Header.Get(envelope.NotRun) == "" {
		return nil
	}
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		refusal := result.Errorf(result.CallNotRunShed, "the back end responded with status %d", response.StatusCode)
		refusal.RetryAfter = retryAfterOf(response.Header)
		if hadFreeSlot {
			refusal.RetryAfter = freeSlotRetryDelay
		}
		return refusal
	default:
		return nil
	}
}
