// Package explain reads the log lines of several daemons and finds out why a request failed: it
// returns the request's lines in order and the cause that they prove.
//
// The package has no state of its own; a Journal holds the lines that were read. It depends on the
// names of log events and keys, which docs/OPERATIONS.md lists. It names a cause only if lines
// prove it; otherwise the request counts as unexplained.
package explain

import (
	"fmt"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Cause is the reason for a request's failure, as its log lines prove it.
type Cause string

// The causes of failed requests.
const (
	// CauseUnexplained: the lines prove no cause.
	CauseUnexplained Cause = "unexplained"
	// CauseSampled: a daemon left out the request's lines because its log was
	// sampled under load.
	CauseSampled Cause = "sampled"
	// CauseOverload: all instances that were tried were at their concurrency limit.
	CauseOverload Cause = "overload"
	// CauseNoInstance: no instance of the service was available.
	CauseNoInstance Cause = "no-instance"
	// CauseQuarantined: the request is quarantined because instances crashed on
	// requests with the same keys.
	CauseQuarantined Cause = "quarantined"
	// CauseInstanceBroke: the connection to the instance broke after the instance
	// had received the request.
	CauseInstanceBroke Cause = "instance-broke"
	// CauseInstanceSlow: the instance did not answer within the deadline.
	CauseInstanceSlow Cause = "instance-slow"
	// CauseInstanceFailed: the instance answered with a server error.
	CauseInstanceFailed Cause = "instance-failed"
	// CauseInstanceRefused: the instance refused the request without running it.
	CauseInstanceRefused Cause = "instance-refused"
	// CauseDaemonLost: the daemon on the instance's machine was lost or restarted.
	CauseDaemonLost Cause = "daemon-lost"
	// CauseUnreachable: no connection to the instance could be opened.
	CauseUnreachable Cause = "unreachable"
	// CauseCallerLeft: the caller disconnected before the answer.
	CauseCallerLeft Cause = "caller-left"
	// CauseLeaving: the instance or the daemon was draining.
	CauseLeaving Cause = "leaving"
	// CauseNoConfiguration: the daemon had no configuration yet.
	CauseNoConfiguration Cause = "no-configuration"
	// CauseOldConfiguration: another daemon had a newer configuration in force.
	CauseOldConfiguration Cause = "old-configuration"
	// CauseNoRoute: no route matched, and no daemon had a newer configuration.
	CauseNoRoute Cause = "no-route"
	// CauseUnknownKey: the API key is unknown, and no daemon had a newer configuration.
	CauseUnknownKey Cause = "unknown-key"
	// CauseKeysUnconfirmed: the daemon could not confirm that the API key is in force.
	CauseKeysUnconfirmed Cause = "keys-unconfirmed"
	// CauseBadRequest: the request is not valid HTTP.
	CauseBadRequest Cause = "bad-request"
)

// Log events that the analysis reads.
const (
	eventCallFailed    = "call.failed"
	eventCallAnswered  = "call.answered"
	eventAttemptFailed = "call.attempt_failed"
	eventOriginRefused = "origin.refused"
	eventOriginBroke   = "origin.broke"
	eventInForce       = "configuration.in_force"
	eventFleetLost     = "fleet.lost"
	eventFleetStalled  = "fleet.stalled"
	eventStarted       = "daemon.started"
	eventStopping      = "daemon.stopping"
	eventSampled       = "decisions.sampled"
)

// correlationWindow is the maximum time between a line about the loss of a daemon and the failure of a
// call to it. It must exceed the 2.5 s of silence after which a daemon counts as lost.
const correlationWindow = 3 * time.Second

// Verdict is the cause of a request's failure, with the line that proves it.
type Verdict struct {
	Cause Cause
	// Proof describes the cause in one phrase.
	Proof string
	// Line is the line that proves the cause.
	Line *Line
}

// Journal holds the log lines of several daemons.
type Journal struct {
	lines     []Line
	byRequest map[string][]*Line
	// daemonLines are the lines without a request ID, in order.
	daemonLines []*Line
}

// NewJournal returns a journal of lines. It sorts lines in place.
func NewJournal(lines []Line) *Journal {
	Sort(lines)
	journal := &Journal{lines: lines, byRequest: map[string][]*Line{}}
	for index := range lines {
		line := &lines[index]
		if line.Request == "" {
			journal.daemonLines = append(journal.daemonLines, line)
			continue
		}
		journal.byRequest[line.Request] = append(journal.byRequest[line.Request], line)
	}
	return journal
}

// Lines returns the lines of a request in order.
func (j *Journal) Lines(request string) []*Line { return j.byRequest[request] }

// Failed returns the IDs of the failed requests in order of failure.
func (j *Journal) Failed() []string {
	var requests []string
	for index := range j.lines {
		if line := &j.lines[index]; isFailure(line) && line.Request != "" {
			requests = append(requests, line.Request)
		}
	}
	return requests
}

// isFailure reports whether a line records the failure of a request.
func isFailure(line *Line) bool {
	return line.Event == eventCallFailed || (line.Event == eventCallAnswered && line.Number("status") >= callapi.FirstServerError)
}

// Explain finds the cause of a request's failure.
func (j *Journal) Explain(request string) Verdict {
	lines := j.byRequest[request]
	for index := len(lines) - 1; index >= 0; index-- {
		if !isFailure(lines[index]) {
			continue
		}
		verdict := j.explainFailure(lines, lines[index])
		if verdict.Cause == CauseUnexplained {
			return j.checkSampling(request, verdict)
		}
		return verdict
	}
	return Verdict{Cause: CauseUnexplained, Proof: "no line records the failure of the request"}
}

// checkSampling returns CauseSampled if the daemon whose lines are missing was sampling its log at that
// time and left the request out, and verdict otherwise.
func (j *Journal) checkSampling(request string, verdict Verdict) Verdict {
	for _, line := range j.daemonLines {
		delta := line.Time.Sub(verdict.Line.Time)
		// A daemon logs this line at the end of the period that it covers.
		if line.Event != eventSampled || delta < 0 || delta > correlationWindow || line.Node != verdict.Line.Get("member") {
			continue
		}
		if 1<<decision.SamplingLevel(request) < line.Number("one_of") {
			return Verdict{CauseSampled, line.Node + " logged only one request in " + line.Get("one_of"), line}
		}
	}
	return verdict
}

func (j *Journal) explainFailure(lines []*Line, failure *Line) Verdict {
	if failure.Event == eventCallAnswered {
		return Verdict{CauseInstanceFailed, fmt.Sprintf("instance %s answered %s after %s ms", failure.Get("instance"), failure.Get("status"), failure.Get("service_ms")), failure}
	}
	switch result.Code(failure.Number("code")) {
	case result.CallBadRequest:
		return Verdict{CauseBadRequest, failure.Get("detail"), failure}
	case result.CallCancelled:
		return Verdict{CauseCallerLeft, "the caller disconnected after " + failure.Get("took_ms") + " ms", failure}
	case result.CallNotReady:
		return Verdict{CauseNoConfiguration, fmt.Sprintf("%s had no configuration in force%s", failure.Node, j.startDetail(failure)), failure}
	case result.CallNoRoute:
		return j.explainMissing(failure, CauseNoRoute, "no route")
	case result.CallUnknownKey:
		return j.explainMissing(failure, CauseUnknownKey, "no such key")
	case result.CallKeysUnconfirmed:
		return Verdict{CauseKeysUnconfirmed, fmt.Sprintf("%s could not confirm revision %s", failure.Node, failure.Get("revision")), failure}
	case result.CallNotRunStopping, result.CallNotRunDraining, result.CallNotRunUnknownHere:
		return Verdict{CauseLeaving, j.stopDetail(failure), failure}
	case result.CallNotRunQuarantined:
		return Verdict{CauseQuarantined, failure.Get("detail"), failure}
	case result.CallInstanceCrashed:
		return Verdict{CauseInstanceBroke, failure.Get("detail"), failure}
	case result.CallNoEndpoint, result.CallNotRunEvacuated, result.CallNotRunRegion:
		return Verdict{CauseNoInstance, failure.Get("detail"), failure}
	default:
		return explainAttempt(j, lines, failure)
	}
}

// explainAttempt finds the cause in the last attempt and in the lines about it
// from the daemon on the instance's machine.
func explainAttempt(j *Journal, lines []*Line, failure *Line) Verdict {
	attempt := lastLine(lines, eventAttemptFailed, "")
	if attempt == nil {
		attempt = failure
	}
	origin := lastLine(lines, eventOriginBroke, attempt.Get("attempt"))
	if origin == nil {
		origin = lastLine(lines, eventOriginRefused, attempt.Get("attempt"))
	}
	switch result.Code(failure.Number("code")) {
	case result.CallNotRunOverloaded, result.CallNotRunExpired:
		if origin == nil {
			return Verdict{CauseOverload, "every instance that was tried was full; last attempt: " + attempt.Get("detail"), attempt}
		}
		return Verdict{CauseOverload, fmt.Sprintf("instance %s had %s calls running and %s waiting, limit %s, service time %s ms",
			origin.Get("instance"), origin.Get("running"), origin.Get("waiting"), origin.Get("limit"), origin.Get("service_ms")), origin}
	case result.CallNotRunCold:
		if origin == nil {
			return Verdict{CauseOverload, "every instance that was tried was cold; last attempt: " + attempt.Get("detail"), attempt}
		}
		return Verdict{CauseOverload, fmt.Sprintf("instance %s is cold and accepts %s calls per second, %s were waiting",
			origin.Get("instance"), origin.Get("cold_rate"), origin.Get("waiting")), origin}
	case result.CallNotRunShed:
		return Verdict{CauseInstanceRefused, "instance " + attempt.Get("instance") + " refused it: " + attempt.Get("detail"), attempt}
	case result.CallDeadline:
		return Verdict{CauseInstanceSlow, fmt.Sprintf("instance %s had not answered after %s ms", attempt.Get("instance"), failure.Get("took_ms")), attempt}
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated:
		return j.explainLoss(attempt, origin)
	default:
		return Verdict{Cause: CauseUnexplained, Proof: "code " + failure.Get("code"), Line: failure}
	}
}

// explainLoss distinguishes a lost daemon from an instance whose connection broke.
func (j *Journal) explainLoss(attempt, origin *Line) Verdict {
	if origin != nil {
		cause := CauseInstanceBroke
		if origin.Event == eventOriginRefused {
			cause = CauseUnreachable
		}
		return Verdict{cause, fmt.Sprintf("instance %s, %s ms after the request arrived: %s", origin.Get("instance"), origin.Get("took_ms"), origin.Get("detail")), origin}
	}
	member := attempt.Get("member")
	for _, line := range j.daemonLines {
		if delta := line.Time.Sub(attempt.Time); delta < -correlationWindow || delta > correlationWindow {
			continue
		}
		lost := line.Event == eventFleetLost || line.Event == eventFleetStalled
		if lost && line.Get("member") == member {
			return Verdict{CauseDaemonLost, fmt.Sprintf("%s lost contact with %s (%s)", line.Node, member, line.Event), line}
		}
		if line.Event == eventStarted && line.Node == member {
			return Verdict{CauseDaemonLost, member + " restarted", line}
		}
	}
	if attempt.Get("member") == attempt.Node {
		return Verdict{CauseInstanceBroke, "local instance " + attempt.Get("instance") + ": " + attempt.Get("detail"), attempt}
	}
	return Verdict{Cause: CauseUnexplained, Proof: "no line of " + member + " and no loss of it explains the failed attempt", Line: attempt}
}

// explainMissing returns CauseOldConfiguration if another daemon had a newer revision in force when
// the request failed, and cause otherwise. missing names the route or key that was not found.
func (j *Journal) explainMissing(failure *Line, cause Cause, missing string) Verdict {
	revision := failure.Number("revision")
	for _, line := range j.daemonLines {
		if line.Time.After(failure.Time) {
			break
		}
		if line.Event == eventInForce && line.Number("revision") > revision {
			return Verdict{CauseOldConfiguration, fmt.Sprintf("%s had revision %d in force, %s had put %s in force %s earlier",
				failure.Node, revision, line.Node, line.Get("revision"), failure.Time.Sub(line.Time)), line}
		}
	}
	return Verdict{cause, fmt.Sprintf("%s in revision %d: %s", missing, revision, failure.Get("detail")), failure}
}

// stopDetail describes how long the daemon that refused the request had been stopping.
func (j *Journal) stopDetail(failure *Line) string {
	for index := len(j.daemonLines) - 1; index >= 0; index-- {
		line := j.daemonLines[index]
		if line.Event == eventStopping && line.Node == failure.Node && line.Time.Before(failure.Time) {
			return fmt.Sprintf("%s had been stopping for %s", failure.Node, failure.Time.Sub(line.Time))
		}
	}
	return failure.Get("detail")
}

// startDetail describes how long before the failure the daemon started, empty if no line records it.
func (j *Journal) startDetail(failure *Line) string {
	for index := len(j.daemonLines) - 1; index >= 0; index-- {
		line := j.daemonLines[index]
		if line.Event == eventStarted && line.Node == failure.Node && line.Time.Before(failure.Time) {
			return fmt.Sprintf(", it had started %s earlier", failure.Time.Sub(line.Time))
		}
	}
	return ""
}

// lastLine returns the last of lines with the given event, and with the given
// attempt unless that is empty.
func lastLine(lines []*Line, event, attempt string) *Line {
	for index := len(lines) - 1; index >= 0; index-- {
		line := lines[index]
		if line.Event == event && (attempt == "" || line.Get("attempt") == attempt) {
			return line
		}
	}
	return nil
}
