// Package callapi defines the types that the parts of the request path exchange: a call with a
// streamed body, its answer, and the names of the header fields that accompany them. It owns no
// state. A Call or Answer belongs to the goroutine that carries it out.
//
// Invariants: the code of a Handler's error tells whether the call ran (OutcomeOf); a body is
// complete only after it was read to io.EOF.
package callapi

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Names of header fields that the system adds.
const (
	// HeaderResult carries the result code of a call.
	HeaderResult = "Lapisvane-Result"
	// HeaderOutcome carries OutcomeDone, OutcomeNotRun or OutcomeUnknown.
	HeaderOutcome = "Lapisvane-Outcome"
	// HeaderDeadline carries the time left until the deadline along a chain of calls, in milliseconds.
	HeaderDeadline = "Lapisvane-Deadline-Ms"
	// HeaderAttempt counts the retries along a chain of calls.
	HeaderAttempt = "Lapisvane-Attempt"
	// HeaderNotRun is set by a back end on a 429 or 503 answer to state that
	// the request was refused before it ran.
	HeaderNotRun = "Lapisvane-Not-Run"
	// HeaderKey carries the caller's API key. HeaderAccount passes the name of its account to a back
	// end.
	HeaderKey     = "Lapisvane-Api-Key"
	HeaderAccount = "Lapisvane-Account"
	// HeaderIdempotencyKey carries the idempotency key chosen by the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcomes of a call, in HeaderOutcome: a back end answered it, it did not run, or it may have run.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// FirstServerError is the lowest HTTP status that counts as a failure of the back end.
const FirstServerError = 500

// HostName returns a host in the form used by routes: in lower case and without a port.
func HostName(host string) string {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// Call is one attempt at a call.
type Call struct {
	// Open is the head of the call. Its deadline is the remaining time, in milliseconds.
	Open *lapisv1.CallOpen
	// Body is the request body, nil if there is none.
	Body io.Reader
	// Buffered is true when Body is short and in memory, so that it may be sent before the call is
	// admitted.
	Buffered bool
	// Trailers returns the request trailers after Body was read to its end; it may be
	// nil.
	Trailers func() []*lapisv1.HeaderField
	// KeepWaitingWhenSilent reports whether the call keeps waiting after the daemon beside the
	// instance has stopped responding. If it is nil, the call ends with a SilentPeerError, so that
	// another instance may be tried. It must not block.
	KeepWaitingWhenSilent func() bool
	// DeadlineRounding is by how much the deadline of the call's context may exceed the deadline of its
	// caller. The instance is given that much less time.
	DeadlineRounding time.Duration
}

// SilentPeerError is the cause of an attempt's error if the daemon beside the instance stopped
// responding. The instance may still be processing the call and answer later, so the attempt
// continues until its context ends.
type SilentPeerError struct {
	// Await keeps waiting for the answer until ctx or the attempt's context ends. It may be called at
	// most once. Errors: those of a Handler.
	Await func(ctx context.Context) (*Answer, error)
}

// Error implements error.
func (*SilentPeerError) Error() string { return "the daemon beside the instance is silent" }

// Answer is a back end's answer.
type Answer struct {
	// Head holds the status, the header fields, the instance's processing time in microseconds and
	// its load in calls per slot.
	Head *lapisv1.CallHead
	// Body is complete if reading it ends with io.EOF; any other error means that it
	// was cut off. It must be closed.
	Body io.ReadCloser
	// Trailers returns the trailers after Body was read to its end.
	Trailers func() []*lapisv1.HeaderField
}

// Handler carries out one attempt at a call. It is safe for concurrent use. Handle returns when the
// head of the answer has been received, at the latest soon after ctx ends. Its errors have the result
// code of a call (5xxx): if Code.NotRun is true for the code, the call did not run. The
// outcome of an error without a code is unknown.
type Handler interface {
	Handle(ctx context.Context, call *Call) (*Answer, error)
}

// OutcomeOf returns the outcome of a call that ended with err: OutcomeDone for nil, and OutcomeUnknown
// for an error without a code, which does not prove that the call did not run.
func OutcomeOf(err error) string {
	if err == nil {
		return OutcomeDone
	}
	if code, ok := result.CodeOf(err); ok && code.NotRun() {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}
