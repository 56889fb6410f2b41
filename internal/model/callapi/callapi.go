// Package callapi defines what the parts of the request path hand to each
// other: a call with a streamed body, its answer, and the names of the header fields that
// accompany them. It owns nothing; its types are plain values, and a Call or Answer belongs to the
// goroutine that carries it out.
//
// What must hold: an error of a Handler proves by its code whether the call ran (OutcomeOf), and
// a body is whole only once it was read to io.EOF.
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
	// HeaderKey carries the caller's API key, and HeaderAccount names its account to a back end.
	HeaderKey     = "Lapisvane-Api-Key"
	HeaderAccount = "Lapisvane-Account"
	// HeaderIdempotencyKey is the caller's own key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcomes of a call, as they stand in HeaderOutcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// FirstServerError is the least HTTP status of a back end's answer that says that it failed.
const FirstServerError = 500

// HostName returns a host in the form of routes: in lower case and without port.
func HostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Call is one attempt at a call.
type Call struct {
	// Open is the head of the call. Its deadline is the time left, in milliseconds.
	Open *lapisv1.CallOpen
	// Body is the request body, nil when there is none.
	Body io.Reader
	// Buffered is true when Body is short and in memory, so that it may be sent before the call is
	// admitted.
	Buffered bool
	// Trailers returns the request trailers once Body is at its end; it may be
	// nil.
	Trailers func() []*lapisv1.HeaderField
	// StaysWithSilent reports, once the daemon beside the instance falls silent, whether the call
	// goes on waiting there; nil means that it ends with a Silence, so that another instance may be
	// tried. It must not block.
	StaysWithSilent func() bool
}

// Silence is the cause of an attempt's error where the daemon beside the instance fell silent. The
// instance may be at work, and its answer may still come: the attempt goes on until its context ends.
type Silence struct {
	// Await waits on for the answer, until ctx or the attempt's context ends. It is called at most
	// once. Errors: those of a Handler.
	Await func(ctx context.Context) (*Answer, error)
}

// Error implements error.
func (*Silence) Error() string { return "the daemon beside the instance is silent" }

// Answer is a back end's answer.
type Answer struct {
	// Head holds the status, the header fields, the time that the instance took in microseconds
	// and its load in calls per slot.
	Head *lapisv1.CallHead
	// Body must be read to io.EOF for the answer to be whole; any other error
	// means that it broke off. It must be closed.
	Body io.ReadCloser
	// Trailers returns the trailers once Body is at its end.
	Trailers func() []*lapisv1.HeaderField
}

// Handler carries out one attempt; it is safe for concurrent use. It returns once the answer's
// head is there, at the latest soon after ctx ends. Errors carry a call's result code (5xxx); where
// Code.NotRun is true for it no back end saw the call. One without a code counts as unknown.
type Handler interface {
	Handle(ctx context.Context, call *Call) (*Answer, error)
}

// OutcomeOf returns the outcome that an error of a call stands for: OutcomeDone for nil, and
// OutcomeUnknown for an error without a code, since nothing proves then that the call did not run.
func OutcomeOf(err error) string {
	if err == nil {
		return OutcomeDone
	}
	if code, ok := result.CodeOf(err); ok && code.NotRun() {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
