// Package callapi defines what the parts of the request path hand to each
// other: a call with a streamed body, and its answer.
package callapi

import (
	"context"
	"io"
	"net"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Names of header fields that the system adds.
const (
	// HeaderResult carries the numbered result of a call.
	HeaderResult = "Lapisvane-Result"
	// HeaderOutcome carries done, not-run or unknown.
	HeaderOutcome = "Lapisvane-Outcome"
	// HeaderDeadline carries the remaining milliseconds along a chain of calls.
	HeaderDeadline = "Lapisvane-Deadline-Ms"
	// HeaderAttempt counts the retries along a chain of calls.
	HeaderAttempt = "Lapisvane-Attempt"
	// HeaderNotRun is set by a back end on a 429 or 503 answer to state that
	// the request was refused before it ran.
	HeaderNotRun = "Lapisvane-Not-Run"
	// HeaderIdempotencyKey is the caller's own key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcomes of a call.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// FirstServerError is the least status of a back end's answer that says that it failed.
const FirstServerError = 500

// HostName returns a host as routes name it: in lower case and without port.
func HostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Call is one attempt at a call.
type Call struct {
	Open *lapisv1.CallOpen
	// Body is the request body, nil when there is none.
	Body io.Reader
	// Buffered is true when Body is small and at hand, so that it may be sent
	// before the call is admitted.
	Buffered bool
	// Trailers returns the request trailers once Body is at its end; it may be
	// nil.
	Trailers func() []*lapisv1.HeaderField
	// StaysWithSilent tells, when the daemon beside the instance falls silent,
	// whether the call waits on there; nil means that it ends, so that another
	// instance may be tried.
	StaysWithSilent func() bool
}

// Answer is a back end's answer.
type Answer struct {
	Head *lapisv1.CallHead
	// Body must be read to io.EOF for the answer to be whole; any other error
	// means that it broke off. It must be closed.
	Body io.ReadCloser
	// Trailers returns the trailers once Body is at its end.
	Trailers func() []*lapisv1.HeaderField
}

// Handler carries out one attempt. A returned error carries a result code; if
// its code proves that the call did not run, no back end saw the call.
type Handler interface {
	Handle(ctx context.Context, call *Call) (*Answer, error)
}

// OutcomeOf returns the outcome that an error stands for.
func OutcomeOf(err error) string {
	if err == nil {
		return OutcomeDone
	}
	if code, ok := result.CodeOf(err); ok && code.NotRun() {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
