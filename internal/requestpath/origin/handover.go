package origin

import (
	"context"
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// handOver sends a call that holds a slot to its instance and returns the response. The slot is
// released with an error, or at the end of the response. Errors: those of roundTrip,
// CallInstanceCrashed if the instance's process ended during the call, and those of
// responseRefusal.
func (o *Origin) handOver(ctx context.Context, instance *Instance, slot *admission.Slot, call *callapi.Call) (*callapi.Answer, error) {
	startedAt := time.Now()
	defer o.countExecuting(call)()
	tracked := trackCall(call)
	response, sentAt, err := instance.send(ctx, call, tracked)
	if err != nil {
		err = o.finishUnanswered(ctx, instance, tracked, err)
		o.recordCallEnd(instance, err)
		o.releaseUnanswered(slot, err)
		return nil, err
	}
	o.counts.handedOver.Add(1)
	instance.inFlight.remove(tracked)
	o.recordCallEnd(instance, nil)
	workPercent := o.config.Envelope.WorkPercent(response.Header)
	instance.reportedWork.record(workPercent, time.Now())
	refusal := o.responseRefusal(instance, response, slot.HadFreeSlot())
	stated := o.recordStatement(instance, response, sentAt, refusal)
	if refusal != nil {
		_ = response.Body.Close() // It only ends the exchange, and never fails.
		releaseRefused(slot, refusal)
		return nil, refusal
	}
	o.clearSuspicion(tracked, response.StatusCode)
	head := responseHead(response)
	head.Load = instance.queue.Load()
	head.ServiceMicros = uint32(time.Since(startedAt).Microseconds())
	head.WorkPercent = workPercent
	setStatement(head, stated)
	onError := func(err error) {
		o.recordCallEnd(instance, err)
		o.logFailure(call, err, startedAt)
	}
	body := &responseBody{body: response.Body, slot: slot, onError: onError}
	return &callapi.Answer{
		Head: head, Body: body,
		Trailers: func() []*lapisv1.HeaderField { return headerFields(response.Trailer) },
	}, nil
}

// send sends a call to the instance and keeps it among the calls in flight until the caller removes it.
// sentAt is when it was sent. Errors: those of roundTrip.
func (i *Instance) send(ctx context.Context, call *callapi.Call, tracked *inFlightCall) (response *http.Response, sentAt time.Time, err error) {
	returned := false
	defer func() {
		// A panic while the call is sent ends this call only. The call must not stay in flight,
		// because a crash of the instance is detected by the end of all its calls.
		if !returned {
			i.inFlight.remove(tracked)
		}
	}()
	response, err = i.backend.roundTrip(ctx, call, func() {
		sentAt = time.Now()
		i.inFlight.add(tracked)
		i.countSent(call.Open.GetRepeat())
	})
	returned = true
	return response, sentAt, err
}

// releaseUnanswered releases the slot of a call that got no response.
func (o *Origin) releaseUnanswered(slot *admission.Slot, err error) {
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		slot.Cancel()
		return
	}
	slot.Release(false)
	o.counts.handedOver.Add(1)
	o.counts.broken.Add(1)
}

// releaseRefused releases the slot of a call that its instance refused.
func releaseRefused(slot *admission.Slot, refusal error) {
	if result.Is(refusal, result.CallNotRunShed) {
		slot.Release(true)
		return
	}
	slot.Cancel()
}

// responseRefusal returns the error for a response which states that the back end did not run the
// request, nil for any other response. hadFreeSlot is true if the instance had a free slot. Status
// 421 means that another instance has taken over the address, so this one is marked as replaced.
func (o *Origin) responseRefusal(instance *Instance, response *http.Response, hadFreeSlot bool) error {
	if o.config.Envelope.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		o.noteTakeover(instance, time.Now())
		o.markReplaced(instance)
		return result.Errorf(result.CallNotRunUnknownHere, "another instance listens at the address of %s", instance.Name)
	}
	return instanceRefusal(response, &o.config.Envelope, hadFreeSlot)
}
