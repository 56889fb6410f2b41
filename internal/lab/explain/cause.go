// Package explain reads the log lines of several daemons and finds out what happened to a
// request and why: its lines in order, and the cause that they prove.
//
// It owns no state; a Journal holds the lines that were read. It relies on the names of events
// and keys, which docs/OPERATIONS.md lists. What must hold: a cause is named only where lines
// prove it, else the request counts as unexplained.
package explain

import (
	"fmt"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Cause is what a request's lines prove.
type Cause string

// The causes that lines prove.
const (
	// CauseUnexplained: the lines prove nothing.
	CauseUnexplained Cause = "unexplained"
	// CauseSampled: a daemon did not write its lines of the request, because it
	// had too many.
	CauseSampled Cause = "sampled"
	// CauseOverload: all instances that were tried were full.
	CauseOverload Cause = "overload"
	// CauseNoInstance: no instance of the service could take work.
	CauseNoInstance Cause = "no-instance"
	// CauseQuarantined: instances crashed under the request's keys.
	CauseQuarantined Cause = "quarantined"
	// CauseInstanceBroke: the instance took the request and broke off.
	CauseInstanceBroke Cause = "instance-broke"
	// CauseInstanceSlow: the instance had the request until the time was over.
	CauseInstanceSlow Cause = "instance-slow"
	// CauseInstanceFailed: the instance answered with a failure of its own.
	CauseInstanceFailed Cause = "instance-failed"
	// CauseInstanceRefused: the instance said that it did not run the request.
	CauseInstanceRefused Cause = "instance-refused"
	// CauseDaemonLost: the daemon beside the instance was lost.
	CauseDaemonLost Cause = "daemon-lost"
	// CauseUnreachable: no connection to the instance could be opened.
	CauseUnreachable Cause = "unreachable"
	// CauseCallerLeft: the caller disconnected first.
	CauseCallerLeft Cause = "caller-left"
	// CauseLeaving: the instance or the daemon was draining.
	CauseLeaving Cause = "leaving"
	// CauseNoConfiguration: the daemon had no configuration yet.
	CauseNoConfiguration Cause = "no-configuration"
	// CauseOldConfiguration: others had a newer configuration in force.
	CauseOldConfiguration Cause = "old-configuration"
	// CauseNoRoute: no configuration in force anywhere had a route.
	CauseNoRoute Cause = "no-route"
	// CauseUnknownKey: no configuration in force anywhere had its API key.
	CauseUnknownKey Cause = "unknown-key"
	// CauseKeysUnconfirmed: the daemon could not tell whether its API key is in force.
	CauseKeysUnconfirmed Cause = "keys-unconfirmed"
	// CauseBadRequest: the request is not acceptable HTTP.
	CauseBadRequest Cause = "bad-request"
)

// Events that are read here.
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

// nearby is how far apart the lines about the loss of a daemon and about a call to it may be. It is
// above the 2.5 s of silence after which a daemon counts as lost.
const nearby = 3 * time.Second

// Verdict is the cause of a request's end, with the line that proves it.
type Verdict struct {
	Cause Cause
	// Proof describes the cause.
	Proof string
	// Line is the line that the proof rests on.
	Line *Line
}

// Journal holds the lines of several daemons.
type Journal struct {
	lines     []Line
	byRequest map[string][]*Line
	// daemonLines are the lines about daemons and not about one request, in order.
	daemonLines []*Line
}

// NewJournal returns a journal of lines, which it sorts.
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

// Story returns the lines of a request in order.
func (j *Journal) Story(request string) []*Line { return j.byRequest[request] }

// Failed returns the requests that ended without a success of an instance, in
// order of their end.
func (j *Journal) Failed() []string {
	var requests []string
	for index := range j.lines {
		if line := &j.lines[index]; isEnd(line) && line.Request != "" {
			requests = append(requests, line.Request)
		}
	}
	return requests
}

// isEnd reports whether a line is about a request's end without success.
func isEnd(line *Line) bool {
	return line.Event == eventCallFailed || (line.Event == eventCallAnswered && line.Number("status") >= callapi.FirstServerError)
}

// Explain finds the cause of a request's end.
func (j *Journal) Explain(request string) Verdict {
	story := j.byRequest[request]
	for index := len(story) - 1; index >= 0; index-- {
		if !isEnd(story[index]) {
			continue
		}
		verdict := j.explainEnd(story, story[index])
		if verdict.Cause == CauseUnexplained {
			return j.orSampled(request, verdict)
		}
		return verdict
	}
	return Verdict{Cause: CauseUnexplained, Proof: "no line tells of its end"}
}

// orSampled returns verdict, or CauseSampled where the daemon whose lines are missing was sampling
// at that time and left the request out.
func (j *Journal) orSampled(request string, verdict Verdict) Verdict {
	for _, line := range j.daemonLines {
		distance := line.At.Sub(verdict.Line.At)
		// The line comes after the time that it is about.
		if line.Event != eventSampled || distance < 0 || distance > nearby || line.Node != verdict.Line.Get("member") {
			continue
		}
		if 1<<decision.Rank(request) < line.Number("one_of") {
			return Verdict{CauseSampled, line.Node + " wrote the lines of one request of " + line.Get("one_of"), line}
		}
	}
	return verdict
}

func (j *Journal) explainEnd(story []*Line, end *Line) Verdict {
	if end.Event == eventCallAnswered {
		return Verdict{CauseInstanceFailed, fmt.Sprintf("instance %s answered %s after %s ms", end.Get("instance"), end.Get("status"), end.Get("service_ms")), end}
	}
	switch result.Code(end.Number("code")) {
	case result.CallBadRequest:
		return Verdict{CauseBadRequest, end.Get("detail"), end}
	case result.CallCancelled:
		return Verdict{CauseCallerLeft, "the caller went away after " + end.Get("took_ms") + " ms", end}
	case result.CallNotReady:
		return Verdict{CauseNoConfiguration, fmt.Sprintf("%s had no configuration in force%s", end.Node, j.sinceStart(end)), end}
	case result.CallNoRoute:
		return j.explainLacking(end, CauseNoRoute, "no route")
	case result.CallUnknownKey:
		return j.explainLacking(end, CauseUnknownKey, "no such key")
	case result.CallKeysUnconfirmed:
		return Verdict{CauseKeysUnconfirmed, fmt.Sprintf("%s could not confirm revision %s", end.Node, end.Get("revision")), end}
	case result.CallNotRunStopping, result.CallNotRunDraining, result.CallNotRunUnknownHere:
		return Verdict{CauseLeaving, j.leaving(end), end}
	case result.CallNotRunQuarantined:
		return Verdict{CauseQuarantined, end.Get("detail"), end}
	case result.CallInstanceCrashed:
		return Verdict{CauseInstanceBroke, end.Get("detail"), end}
	case result.CallNoEndpoint, result.CallNotRunEvacuated, result.CallNotRunRegion:
		return Verdict{CauseNoInstance, end.Get("detail"), end}
	default:
		return explainAttempt(j, story, end)
	}
}

// explainAttempt finds the cause in the last attempt and in what the daemon
// beside the instance wrote about it.
func explainAttempt(j *Journal, story []*Line, end *Line) Verdict {
	attempt := last(story, eventAttemptFailed, "")
	if attempt == nil {
		attempt = end
	}
	origin := last(story, eventOriginBroke, attempt.Get("attempt"))
	if origin == nil {
		origin = last(story, eventOriginRefused, attempt.Get("attempt"))
	}
	switch result.Code(end.Number("code")) {
	case result.CallNotRunOverloaded, result.CallNotRunExpired:
		if origin == nil {
			return Verdict{CauseOverload, "every instance that was asked was full; last " + attempt.Get("detail"), attempt}
		}
		return Verdict{CauseOverload, fmt.Sprintf("instance %s had %s running and %s waiting of %s slots, a call takes %s ms",
			origin.Get("instance"), origin.Get("running"), origin.Get("waiting"), origin.Get("limit"), origin.Get("service_ms")), origin}
	case result.CallNotRunCold:
		if origin == nil {
			return Verdict{CauseOverload, "every instance that was asked was cold; last " + attempt.Get("detail"), attempt}
		}
		return Verdict{CauseOverload, fmt.Sprintf("instance %s is cold and takes %s calls a second, %s were waiting",
			origin.Get("instance"), origin.Get("cold_rate"), origin.Get("waiting")), origin}
	case result.CallNotRunShed:
		return Verdict{CauseInstanceRefused, "instance " + attempt.Get("instance") + " refused it: " + attempt.Get("detail"), attempt}
	case result.CallDeadline:
		return Verdict{CauseInstanceSlow, fmt.Sprintf("instance %s had it when %s ms were over", attempt.Get("instance"), end.Get("took_ms")), attempt}
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated:
		return j.explainLoss(attempt, origin)
	default:
		return Verdict{Cause: CauseUnexplained, Proof: "code " + end.Get("code"), Line: end}
	}
}

// explainLoss distinguishes a lost daemon from an instance that broke off.
func (j *Journal) explainLoss(attempt, origin *Line) Verdict {
	if origin != nil {
		cause := CauseInstanceBroke
		if origin.Event == eventOriginRefused {
			cause = CauseUnreachable
		}
		return Verdict{cause, fmt.Sprintf("instance %s, %s ms after it came there: %s", origin.Get("instance"), origin.Get("took_ms"), origin.Get("detail")), origin}
	}
	member := attempt.Get("member")
	for _, line := range j.daemonLines {
		if distance := line.At.Sub(attempt.At); distance < -nearby || distance > nearby {
			continue
		}
		lost := line.Event == eventFleetLost || line.Event == eventFleetStalled
		if lost && line.Get("member") == member {
			return Verdict{CauseDaemonLost, fmt.Sprintf("%s lost %s (%s)", line.Node, member, line.Event), line}
		}
		if line.Event == eventStarted && line.Node == member {
			return Verdict{CauseDaemonLost, member + " started anew", line}
		}
	}
	if attempt.Get("member") == attempt.Node {
		return Verdict{CauseInstanceBroke, "instance " + attempt.Get("instance") + " beside it: " + attempt.Get("detail"), attempt}
	}
	return Verdict{Cause: CauseUnexplained, Proof: "neither " + member + " nor a lost connection to it tells of the attempt", Line: attempt}
}

// explainLacking distinguishes a daemon with an old configuration from what no daemon had, which is
// the cause then.
func (j *Journal) explainLacking(end *Line, cause Cause, lacking string) Verdict {
	own := end.Number("revision")
	for _, line := range j.daemonLines {
		if line.At.After(end.At) {
			break
		}
		if line.Event == eventInForce && line.Number("revision") > own {
			return Verdict{CauseOldConfiguration, fmt.Sprintf("%s had revision %d in force, %s already had %s %s before",
				end.Node, own, line.Node, line.Get("revision"), end.At.Sub(line.At)), line}
		}
	}
	return Verdict{cause, fmt.Sprintf("%s in revision %d: %s", lacking, own, end.Get("detail")), end}
}

// leaving describes since when a daemon was stopping.
func (j *Journal) leaving(end *Line) string {
	for index := len(j.daemonLines) - 1; index >= 0; index-- {
		line := j.daemonLines[index]
		if line.Event == eventStopping && line.Node == end.Node && line.At.Before(end.At) {
			return fmt.Sprintf("%s was stopping for %s", end.Node, end.At.Sub(line.At))
		}
	}
	return end.Get("detail")
}

func (j *Journal) sinceStart(end *Line) string {
	for index := len(j.daemonLines) - 1; index >= 0; index-- {
		line := j.daemonLines[index]
		if line.Event == eventStarted && line.Node == end.Node && line.At.Before(end.At) {
			return fmt.Sprintf(", it had started %s before", end.At.Sub(line.At))
		}
	}
	return ""
}

// last returns the last line of an event in a story, of one attempt if that is
// given.
func last(story []*Line, event, attempt string) *Line {
	for index := len(story) - 1; index >= 0; index-- {
		line := story[index]
		if line.Event == event && (attempt == "" || line.Get("attempt") == attempt) {
			return line
		}
	}
	return nil
}
