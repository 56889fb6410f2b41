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

// This file holds why a call is refused beside its instance, and when its caller may come back. All
// of it is pure; handle.go asks in this order, and each refusal proves that the call did not run:
//
//	on arrival       the instance is not here (unknownRefusal)
//	                 the daemon ends before the call must be over (checkShutdown)
//	                 the call may not run in this region (checkRegion)
//	                 the attempt, or the caller's idempotency key, came before (dedup.go)
//	in the queue     the instance drains or is down (drainRefusal, downRefusal), the call is too
//	                 late, or its wait would be too long (package admission)
//	with its slot    its caller's time passed while the machine was suspended (checkSuspended)
//	                 instances crashed under such calls (quarantine.go)
//	                 the daemon ends before the call must be over: asked again, since it may
//	                 have begun to stop while the call waited
//	                 a newer configuration than the one that admitted the call no longer holds its
//	                 key (checkKey): asked last, so that no wait outlasts a revocation
//	                 the caller's daemon has fenced the attempt meanwhile (dedup.go)
//	at the instance  it refused the call itself (instanceRefusal)
//
// What costs nothing to look at, and what no waiting changes, is looked at before a call takes a
// place in the queue. An attempt is remembered only after the conditions that another daemon
// would decide alike.
//
// "Come back when" (result.Error.RetryAfter, 0 where it is not known) is set by package admission
// for load and pace, by the registry for a quarantined call, and by the instance for what it
// refused itself. All other refusals leave it at 0: the caller's daemon is to try another
// instance at once.

// unknownRefusal returns the error for a call whose instance is not beside this daemon; left is
// true for one that was here and left for good.
func unknownRefusal(open *lapisv1.CallOpen, withdrawn bool) *result.Error {
	if withdrawn {
		return result.Errorf(result.CallNotRunDraining, "instance %s left", open.GetInstance())
	}
	return result.Errorf(result.CallNotRunUnknownHere, "no instance %s/%s here", open.GetService(), open.GetInstance())
}

// callTimeout returns how long a call may last from its arrival on; 0 for one without a deadline.
func callTimeout(open *lapisv1.CallOpen) time.Duration {
	return time.Duration(open.GetDeadlineMillis()) * time.Millisecond
}

// checkShutdown refuses a call, which came at the given time, that may go on after the time when
// all must be over; that is zero while the daemon is not stopping. A call without a deadline may
// always go on. Errors: CallNotRunStopping.
func checkShutdown(open *lapisv1.CallOpen, arrivedAt, shutdownDeadline time.Time) error {
	if shutdownDeadline.IsZero() {
		return nil
	}
	if timeout := callTimeout(open); timeout == 0 || arrivedAt.Add(timeout).After(shutdownDeadline) {
		return result.Errorf(result.CallNotRunStopping, "the daemon stops before the call must be over")
	}
	return nil
}

// checkRegion refuses a call that may not run in the daemon's region; where that is not known, any
// call with a list. Neither changes while the call waits. Errors: CallNotRunRegion.
func checkRegion(open *lapisv1.CallOpen, region string) error {
	allowed := open.GetAllowedRegions()
	if len(allowed) == 0 || (region != "" && slices.Contains(allowed, region)) {
		return nil
	}
	return result.Errorf(result.CallNotRunRegion, "the call may run in %q, the instance is in %q", allowed, region)
}

// checkSuspended refuses a call whose time passed while it waited and the machine was suspended:
// the clock that its wait is bounded by stood then, and its caller has given up. waited is by that
// clock, suspended is what the machine missed of it meanwhile. Errors: CallNotRunExpired.
func checkSuspended(open *lapisv1.CallOpen, queueTime, suspended time.Duration) error {
	timeout := callTimeout(open)
	if suspended > 0 && timeout > 0 && queueTime+suspended >= timeout {
		return result.Errorf(result.CallNotRunExpired, "the machine was suspended for %s while the call waited", suspended)
	}
	return nil
}

// checkKey refuses a call whose API key was revoked since it was admitted. An older configuration
// than the one that admitted the call, or none yet, proves nothing. Errors: CallUnknownKey.
func checkKey(open *lapisv1.CallOpen, current *snapshot.Snapshot) error {
	digest := open.GetKeyDigest()
	if len(digest) == 0 || current == nil || current.Revision <= open.GetRouteRevision() || current.Accounts.Holds(digest) {
		return nil
	}
	return result.Errorf(result.CallUnknownKey, "the API key was revoked in revision %d", current.Revision)
}

// drainRefusal returns the error for calls while an instance drains for a reason. The codes differ
// because the remedies do: a stopping daemon and an evacuated zone concern all its instances.
func drainRefusal(instance string, reason DrainReason) *result.Error {
	switch reason {
	case DrainStop:
		return result.Errorf(result.CallNotRunStopping, "instance %s is leaving (%s)", instance, reason)
	case DrainEvacuated:
		return result.Errorf(result.CallNotRunEvacuated, "the zone of instance %s is evacuated", instance)
	default:
		return result.Errorf(result.CallNotRunDraining, "instance %s is leaving (%s)", instance, reason)
	}
}

// downRefusal returns the error for calls to an instance that is down.
func downRefusal(instance string, cause downCause) *result.Error {
	return result.Errorf(result.CallNotRunUnreachable, "instance %s is down (%s)", instance, cause)
}

// freeSlotRetryDelay is when the caller of a call may come back that an instance refused although it had
// room: no load has to pass first, so that a later return finds nothing better. The pause keeps
// callers from trying without one.
const freeSlotRetryDelay = 20 * time.Millisecond

// instanceRefusal returns the error for an answer that states that the instance did not run the
// request (the header field of the envelope, with 503 or 429); nil for any other answer. hadRoom
// tells that the instance had a free slot.
func instanceRefusal(response *http.Response, envelope *callapi.Envelope, hadFreeSlot bool) error {
	if response.Header.Get(envelope.NotRun) == "" {
		return nil
	}
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		refusal := result.Errorf(result.CallNotRunShed, "the back end answered %d", response.StatusCode)
		refusal.RetryAfter = retryAfterOf(response.Header)
		if hadFreeSlot {
			refusal.RetryAfter = freeSlotRetryDelay
		}
		return refusal
	default:
		return nil
	}
}
