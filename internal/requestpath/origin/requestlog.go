package origin

import (
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Names of the events about calls; docs/OPERATIONS.md lists their keys.
const (
	// eventRefused is logged for a call that did not run, eventOutcomeUnknown for one that may have
	// run, and eventAnswered for one that the instance answered.
	eventRefused        = "origin.refused"
	eventOutcomeUnknown = "origin.broke"
	eventAnswered       = "origin.answered"
	// eventPanicked is logged for a call that caused a panic in this daemon.
	eventPanicked = "origin.panicked"
)

// requestID returns the caller's ID of the request of a call; empty if there is none.
func (o *Origin) requestID(call *callapi.Call) string {
	name := o.config.Envelope.RequestID
	if name == "" {
		return ""
	}
	for _, field := range call.Open.GetHeaders() {
		if strings.EqualFold(field.GetName(), name) {
			return field.GetValue()
		}
	}
	return ""
}

// logFailure logs a call that failed, with the load of its instance.
func (o *Origin) logFailure(call *callapi.Call, err error, startedAt time.Time) {
	open := call.Open
	event := eventOutcomeUnknown
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		event = eventRefused
	}
	var occupancy admission.Occupancy
	var cold admission.PaceUse
	var state State
	heartbeatAge := time.Duration(0)
	if instance, ok := o.instance(open.GetService(), open.GetInstance()); ok {
		occupancy = instance.queue.Occupancy()
		cold = instance.queue.PaceUse()
		state = instance.State()
		heartbeatAge = instance.heartbeatAge()
	}
	code, _ := result.CodeOf(err)
	o.config.Decisions.Failure(event, o.requestID(call),
		"attempt", open.GetAttemptId(), "instance", open.GetInstance(), "state", string(state),
		"code", uint32(code), "name", code, "running", occupancy.Running, "waiting", occupancy.Waiting,
		"limit", occupancy.Limit, "service_ms", occupancy.MeanServiceTime.Milliseconds(), "beat_age_ms", heartbeatAge.Milliseconds(),
		"cold_rate", cold.PerSecond, "cold_tokens", cold.Tokens,
		"account", open.GetAccount(), "account_priority", open.GetAccountPriority(), "priority", open.GetPriority(), "due_ms", open.GetTargetMillis(),
		"may_wait_ms", open.GetMaxWaitMillis(), "given_ms", open.GetDeadlineMillis(),
		"took_ms", time.Since(startedAt).Milliseconds(), "head", fingerprint.HeadOf(fingerprint.LineOf(open)), "caller_service", open.GetCallerService(), "detail", err)
}

// logAnswer logs a call that the instance answered.
func (o *Origin) logAnswer(instance *Instance, call *callapi.Call, answer *callapi.Answer, queueTime time.Duration, ahead int) {
	o.config.Decisions.Success(eventAnswered, o.requestID(call), func() []any {
		return []any{
			"attempt", call.Open.GetAttemptId(), "instance", instance.Name, "status", answer.Head.GetStatus(),
			"waited_ms", queueTime.Milliseconds(), "ahead", ahead, "service_ms", float64(answer.Head.GetServiceMicros()) / 1000,
			"load", float64(answer.Head.GetLoad()), "work_percent", answer.Head.GetWorkPercent(),
			"account", call.Open.GetAccount(), "priority", call.Open.GetPriority(), "due_ms", call.Open.GetTargetMillis(),
		}
	})
}
