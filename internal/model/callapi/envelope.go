package callapi

import (
	"net/http"
	"strings"
)

// Envelope holds the names of the header fields that accompany a request and its answer.
// A field with an empty name is neither read nor written. DefaultEnvelope has lapisvane's
// own names; a platform adapter provides those of its platform. An Envelope does not change
// after the start, so it is safe for concurrent use.
type Envelope struct {
	// RequestID identifies the request; it is forwarded unchanged.
	RequestID string
	// EchoesRequestID is true if every back end repeats RequestID in its answer,
	// so that an answer to another request is detected.
	EchoesRequestID bool
	// Deadline carries the time left until the deadline along a chain of calls, in milliseconds.
	Deadline string
	// Attempt counts the retries along a chain of calls.
	Attempt string
	// CallerService passes the name of the service where the request started to a back end.
	CallerService string
	// Key carries the API key of the caller's account. It is not forwarded beyond the daemon that
	// receives the request.
	Key string
	// Account passes the name of the request's account to a back end.
	Account string
	// ExpectedInstance is the id of the instance that the request is meant for; every other instance
	// refuses the request.
	ExpectedInstance string
	// NotRun is set by a back end on an answer that refuses the request before
	// it ran.
	NotRun string
	// Load is the field in which back ends report their load; nil if they do not report it.
	Load *LoadField
	// Statements reads what back ends state about themselves in their answers; nil if they state
	// nothing.
	Statements *StatementReader
	// Result and Outcome are set on answers to callers.
	Result, Outcome string
	// PrivatePrefix is the prefix, in lower case, of the names of further fields that only lapisvane
	// uses and does not forward; empty for none.
	PrivatePrefix string
	// FractionalRetryAfter is true if callers accept fractions of a second in
	// Retry-After.
	FractionalRetryAfter bool
}

// LoadField is the header field of answers in which back ends report their load.
type LoadField struct {
	Name string
	// WorkPercent returns the present processing time from a value of the field, in percent of the
	// usual one: 100 means the usual time, and 0 that the back end reports none.
	WorkPercent func(value string) uint32
}

// WorkPercent returns the back end's present processing time reported in an answer's header, in percent
// of the usual one: 100 means the usual time, and 0 that the back end reports none.
func (e *Envelope) WorkPercent(header http.Header) uint32 {
	if e.Load == nil {
		return 0
	}
	return e.Load.WorkPercent(header.Get(e.Load.Name))
}

// DefaultEnvelope is the Envelope with lapisvane's own names.
var DefaultEnvelope = Envelope{
	Deadline: HeaderDeadline, Attempt: HeaderAttempt, NotRun: HeaderNotRun,
	Key: HeaderKey, Account: HeaderAccount,
	Result: HeaderResult, Outcome: HeaderOutcome, PrivatePrefix: "lapisvane-",
}

// Private reports whether the request field of the given name, in lower case, is
// private to lapisvane and must not be forwarded.
func (e *Envelope) Private(name string) bool {
	if e.PrivatePrefix != "" && strings.HasPrefix(name, e.PrivatePrefix) {
		return true
	}
	for _, own := range []string{e.Deadline, e.Attempt, e.CallerService, e.ExpectedInstance, e.Key, e.Account} {
		if own != "" && strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}
