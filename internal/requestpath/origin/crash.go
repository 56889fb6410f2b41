package origin

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// CrashReporter receives the crashes of local instances, and knows which requests are quarantined
// because of crashes at any daemon. Its methods are safe for concurrent use.
type CrashReporter interface {
	// Crashed records that an instance crashed with calls in flight; id identifies the crash. After
	// it has returned, Suspected, Count and Evaluate take the crash into account.
	Crashed(instance string, id uint64, inFlight []quarantine.InFlight)
	// Suspected reports whether instances crashed during calls with the head of the line.
	Suspected(line fingerprint.RequestLine) bool
	// Answered records that an instance answered a suspected call with the keys.
	Answered(keys []fingerprint.Key)
	// Count returns the number of instances that crashed during calls with the keys.
	Count(keys []fingerprint.Key) int
	// Evaluate returns whether a call of a caller is quarantined.
	Evaluate(keys []fingerprint.Key, caller string) quarantine.Verdict
}

// noReporter is used if Config.Crashes is nil.
type noReporter struct{}

func (noReporter) Crashed(string, uint64, []quarantine.InFlight)         {}
func (noReporter) Suspected(fingerprint.RequestLine) bool                { return false }
func (noReporter) Answered([]fingerprint.Key)                            {}
func (noReporter) Count([]fingerprint.Key) int                           { return 0 }
func (noReporter) Evaluate([]fingerprint.Key, string) quarantine.Verdict { return quarantine.Verdict{} }

// finishUnanswered removes a call that got no response from the calls in flight, and returns its
// final error. If the instance crashed, that is CallInstanceCrashed with the number of instances
// that crashed during such calls.
func (o *Origin) finishUnanswered(ctx context.Context, instance *Instance, tracked *inFlightCall, err error) error {
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		instance.inFlight.remove(tracked)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The instance may have crashed after the callers of its calls had given up.
			o.reportCrash(instance)
		}
		return err
	}
	instance.inFlight.removeUnanswered(tracked, time.Now())
	if !result.Is(err, result.CallUnknownOutcome) || !o.hasCrashed(ctx, instance) {
		return err
	}
	crashed := result.Errorf(result.CallInstanceCrashed, "the process of instance %s ended", instance.Name)
	crashed.Cause = err
	crashed.Crashes = max(o.config.Crashes.Count(tracked.keys()), 1)
	return crashed
}

// hasCrashed carries out the steps of nextCrashCheck after a call to an instance broke off. It takes
// up to maxCrashPolls times crashPollInterval, plus crashProbeTimeout.
func (o *Origin) hasCrashed(ctx context.Context, instance *Instance) bool {
	seen := crashEvidence{}
	for {
		switch nextCrashCheck(seen) {
		case crashPoll:
			time.Sleep(crashPollInterval)
			seen.polls++
			seen.inFlight, seen.crashReported, seen.takenOver = instance.inFlight.poll()
		case crashProbe:
			seen.probed, seen.refused = true, o.probeCrash(ctx, instance)
		case crashConfirmed:
			return true
		default:
			return false
		}
	}
}

// probeCrash reports whether the port of an instance refuses connections or another process has its
// address, and marks the instance as crashed if so. Any other error of the probe, including a timeout,
// is no proof. If several calls broke off, one of them probes and the others use its result.
func (o *Origin) probeCrash(ctx context.Context, instance *Instance) (refused bool) {
	instance.inFlight.probeMutex.Lock()
	defer instance.inFlight.probeMutex.Unlock()
	_, crashed, takenOver := instance.inFlight.poll()
	if crashed {
		return true
	}
	if takenOver {
		o.reportCrash(instance)
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashProbeTimeout)
	defer cancel()
	if !errors.Is(instance.backend.probe(ctx), syscall.ECONNREFUSED) {
		return false
	}
	o.reportCrash(instance)
	instance.recordCrash()
	return true
}

// noteTakeover records that another process has had the address of an instance since a time. An
// instance that has not said that it leaves has crashed then, and its port does not refuse any more.
func (o *Origin) noteTakeover(instance *Instance, since time.Time) {
	if !instance.announcedLeave() && instance.inFlight.recordTakeover(since) {
		o.reportCrash(instance)
	}
}

// reportCrash reports that an instance crashed with its calls in flight, once for each crash.
func (o *Origin) reportCrash(instance *Instance) {
	calls, first := instance.inFlight.markCrashed(time.Now())
	if !first {
		return
	}
	suspects := make([]quarantine.InFlight, 0, len(calls))
	for _, call := range calls {
		suspects = append(suspects, quarantine.InFlight{
			Head: fingerprint.HeadOf(fingerprint.LineOf(call.open)), Keys: call.keys(), Caller: call.open.GetCallerService(),
		})
	}
	o.config.Logger.Info("instance.crashed", "instance", instance.Name, "service", instance.Service, "in_flight", len(suspects))
	if len(suspects) > 0 {
		o.config.Crashes.Crashed(instance.Name, rand.Uint64(), suspects)
	}
}
