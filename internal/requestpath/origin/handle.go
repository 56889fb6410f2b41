package origin

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Fence makes sure that an attempt does not start from now on, and reports whether it started
// before.
func (o *Origin) Fence(attempt string) (started bool) { return o.attempts.Fence(attempt) }

// Handle implements callapi.Handler. It sends the call to its instance once, or refuses it with an
// error that proves that the call did not run. refusal.go lists the conditions and their order.
func (o *Origin) Handle(ctx context.Context, call *callapi.Call) (*callapi.Answer, error) {
	startedAt := time.Now()
	answer, err := o.handleWithRecover(ctx, call)
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		o.counts.refused.Add(1)
	}
	if err != nil {
		o.logFailure(call, err, startedAt)
	}
	return answer, err
}

// handleWithRecover handles a call and recovers from a panic, so that the panic ends this call
// only. It would otherwise end the daemon with all its calls, and the request would be retried at
// the next daemon.
func (o *Origin) handleWithRecover(ctx context.Context, call *callapi.Call) (answer *callapi.Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			answer, err = nil, result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			containment.Count()
			o.config.Decisions.Failure(eventPanicked, o.requestID(call), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return o.handle(ctx, call)
}

func (o *Origin) handle(ctx context.Context, call *callapi.Call) (*callapi.Answer, error) {
	open := call.Open
	instance, err := o.checkArrival(open)
	if err != nil {
		return nil, err
	}
	if _, known := o.attempts.Claim(open.GetAttemptId(), attemptWaiting); known {
		o.counts.duplicates.Add(1)
		return nil, result.Errorf(result.CallNotRunDuplicate, "attempt %s was received before", open.GetAttemptId())
	}
	release, err := o.claimIdempotencyKey(open)
	if err != nil {
		return nil, err
	}
	answer, err := o.admitAndRun(ctx, instance, call)
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		release()
	}
	return answer, instance.reportedWork.annotate(err, time.Now())
}

// checkArrival returns the instance of a call, or the error if the call is refused on arrival.
// Errors: CallNotRunUnknownHere, CallNotRunDraining, CallNotRunStopping, CallNotRunRegion.
func (o *Origin) checkArrival(open *lapisv1.CallOpen) (*Instance, error) {
	instance, ok := o.instance(open.GetService(), open.GetInstance())
	if !ok {
		return nil, unknownRefusal(open, o.hasEnded(open.GetInstance()))
	}
	if err := checkShutdown(open, time.Now(), o.currentShutdownDeadline()); err != nil {
		return nil, err
	}
	return instance, checkRegion(open, o.config.Region)
}

// claimIdempotencyKey refuses a call whose idempotency key was used here before. release makes the
// key available again after a call that did not run. Errors: CallNotRunDuplicate.
func (o *Origin) claimIdempotencyKey(open *lapisv1.CallOpen) (release func(), err error) {
	if open.GetIdempotencyKey() == "" {
		return func() {}, nil
	}
	key := open.GetService() + "\x00" + open.GetGroup() + "\x00" + open.GetIdempotencyKey()
	if _, known := o.idempotencyKeys.Claim(key, attemptStarted); known {
		o.counts.duplicates.Add(1)
		return nil, result.Errorf(result.CallNotRunDuplicate, "the idempotency key was used before")
	}
	return func() { o.idempotencyKeys.Forget(key) }, nil
}

// admissionRequest returns the queue request for a call that arrived at the given time.
func (i *Instance) admissionRequest(open *lapisv1.CallOpen, arrivedAt time.Time) admission.Request {
	request := admission.Request{
		Group: open.GetGroup(), HasAccount: open.GetAccount() != "", Background: open.GetBackground(), Upload: open.GetUpload(),
		AccountPriority: open.GetAccountPriority(), Priority: open.GetPriority(),
		Headroom: time.Duration(open.GetSlackMillis()) * time.Millisecond,
		MaxWait:  time.Duration(open.GetMaxWaitMillis()) * time.Millisecond,
		NoWait:   open.GetNoWait(),
	}
	if !request.HasAccount {
		request.AccountPriority = i.anonymousPriority.Load()
	}
	if open.GetExpiresAfterMillis() > 0 {
		request.LatestStart = arrivedAt.Add(time.Duration(open.GetExpiresAfterMillis()) * time.Millisecond)
	}
	if open.GetTargetMillis() > 0 {
		request.Due = arrivedAt.Add(time.Duration(open.GetTargetMillis()) * time.Millisecond)
	}
	return request
}

// admitAndRun waits for a slot and sends the call to the instance.
func (o *Origin) admitAndRun(ctx context.Context, instance *Instance, call *callapi.Call) (*callapi.Answer, error) {
	instance.adoptLimit(call.Open)
	arrivedAt, suspendedBefore := time.Now(), boottime.Suspended()
	slot, err := instance.queue.Acquire(ctx, instance.admissionRequest(call.Open, arrivedAt))
	if err != nil {
		return nil, err
	}
	handedOver := false
	defer func() {
		if !handedOver {
			// Releases the slot also after a panic.
			slot.Cancel()
		}
	}()
	queueTime := time.Since(arrivedAt)
	err = checkSuspended(call.Open, queueTime, boottime.Suspended()-suspendedBefore)
	if err == nil {
		err = o.startAttempt(call, arrivedAt)
	}
	if err != nil {
		return nil, err
	}
	answer, err := o.handOver(ctx, instance, slot, call)
	handedOver = true
	if err == nil {
		o.logAnswer(instance, call, answer, queueTime, slot.QueuePosition())
	}
	return answer, err
}

// startAttempt records that a call, which arrived at the given time, starts; from then on it may
// have run. Errors: those of checkQuarantine, checkShutdown and checkKey, and CallNotRunDuplicate.
func (o *Origin) startAttempt(call *callapi.Call, arrivedAt time.Time) error {
	open := call.Open
	if err := o.checkQuarantine(call); err != nil {
		return err
	}
	if err := checkShutdown(open, arrivedAt, o.currentShutdownDeadline()); err != nil {
		return err
	}
	if err := checkKey(open, o.configuration()); err != nil {
		return err
	}
	if !o.attempts.Start(open.GetAttemptId()) {
		return result.Errorf(result.CallNotRunDuplicate, "attempt %s was fenced", open.GetAttemptId())
	}
	return nil
}

// RepeatShare returns the share, 0 to 1, of repeats among the calls that run at instances now.
func (o *Origin) RepeatShare() float64 {
	executing := o.executing.Load()
	if executing <= 0 {
		return 0
	}
	return min(float64(o.executingRepeats.Load())/float64(executing), 1)
}

// countExecuting counts a call as executing until done is called.
func (o *Origin) countExecuting(call *callapi.Call) (done func()) {
	repeat := int64(0)
	if call.Open.GetRepeat() {
		repeat = 1
	}
	o.executing.Add(1)
	o.executingRepeats.Add(repeat)
	return func() {
		o.executing.Add(-1)
		o.executingRepeats.Add(-repeat)
	}
}
