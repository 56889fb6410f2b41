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

// handOver hands a call that has a slot to its instance and returns the answer. The slot is given back
// with the error, or at the end of the answer. Errors: those of roundTrip, CallInstanceCrashed where
// the instance ended under the call, and the instance's own refusal.
func (o *Origin) handOver(ctx context.Context, instance *Instance, slot *admission.Slot, call *callapi.Call) (*callapi.Answer, error) {
	startedAt := time.Now()
	defer o.countExecuting(call)()
	tracked := trackCall(call)
	returned := false
	defer func() {
		// A panic while the call is sent ends this call only. It must not stay in flight: a
		// crash of the instance is recognised by all its calls ending.
		if !returned {
			instance.inFlight.remove(tracked)
		}
	}()
	response, err := instance.backend.roundTrip(ctx, call, func() { instance.inFlight.add(tracked) })
	returned = true
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
	if refusal := o.responseRefusal(instance, response, slot.HadRoom()); refusal != nil {
		_ = response.Body.Close() // It only ends the exchange, and never fails.
		releaseRefused(slot, refusal)
		return nil, refusal
	}
	o.clearSuspicion(tracked, response.StatusCode)
	head := responseHead(response)
	head.Load = instance.queue.Load()
	head.ServiceMicros = uint32(time.Since(startedAt).Microseconds())
	head.WorkPercent = workPercent
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

// releaseUnanswered ends the slot of a call that its instance did not answer.
func (o *Origin) releaseUnanswered(slot *admission.Slot, err error) {
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		slot.Cancel()
		return
	}
	slot.Release(false)
	o.counts.handedOver.Add(1)
	o.counts.broken.Add(1)
}

// releaseRefused ends the slot of a call that its instance refused.
func releaseRefused(slot *admission.Slot, refusal error) {
	if result.Is(refusal, result.CallNotRunShed) {
		slot.Release(true)
		return
	}
	slot.Cancel()
}

// responseRefusal returns the error for an answer which states that the back end did not run the request,
// nil for any other; hadRoom tells that the instance had a free slot. An instance that is not the one
// the request was meant for (421) has taken its address.
func (o *Origin) responseRefusal(instance *Instance, response *http.Response, hadFreeSlot bool) error {
	if o.config.Envelope.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		o.markReplaced(instance)
		return result.Errorf(result.CallNotRunUnknownHere, "another instance answers at the address of %s", instance.Name)
	}
	return instanceRefusal(response, &o.config.Envelope, hadFreeSlot)
}
