package callapi

import (
	"net/http"
	"strings"
)

// Envelope names the header fields that accompany a request and its answer.
// An empty name means that the field is neither read nor written. The default
// is lapisvane's own; a platform adapter supplies that of its platform. It is not changed after
// the start, so that it is safe for concurrent use.
type Envelope struct {
	// RequestID names the request; it is forwarded as the caller sent it.
	RequestID string
	// EchoesRequestID is true when every back end repeats RequestID in its
	// answer, so that an answer that belongs to another request is recognised.
	EchoesRequestID bool
	// Deadline carries the remaining milliseconds along a chain of calls.
	Deadline string
	// Attempt counts the retries along a chain of calls.
	Attempt string
	// CallerService names, to a back end, the service where the request started.
	CallerService string
	// Key carries the API key of the caller's account. It goes no further than the daemon that
	// takes the request.
	Key string
	// Account names, to a back end, the account that the request belongs to.
	Account string
	// ExpectedInstance makes every other instance refuse the request.
	ExpectedInstance string
	// NotRun is set by a back end on an answer that refuses the request before
	// it ran.
	NotRun string
	// Load is the field in which back ends state their load; nil where they state none.
	Load *LoadField
	// Result and Outcome are set on answers to callers.
	Result, Outcome string
	// PrivatePrefix starts the names of further fields that concern lapisvane
	// alone and are not forwarded, in lower case; empty for none.
	PrivatePrefix string
	// FractionalRetryAfter is true when callers understand fractions of a
	// second in Retry-After.
	FractionalRetryAfter bool
}

// LoadField is a header field of answers in which back ends state their load.
type LoadField struct {
	Name string
	// WorkPercent reads from the field how long work takes there now: 100 as usual, 0 where that
	// is not stated.
	WorkPercent func(value string) uint32
}

// WorkPercent returns what the answer of a back end states of how long work takes there now: 100 is
// as usual, 0 where it states nothing.
func (e *Envelope) WorkPercent(header http.Header) uint32 {
	if e.Load == nil {
		return 0
	}
	return e.Load.WorkPercent(header.Get(e.Load.Name))
}

// DefaultEnvelope is lapisvane's own.
var DefaultEnvelope = Envelope{
	Deadline: HeaderDeadline, Attempt: HeaderAttempt, NotRun: HeaderNotRun,
	Key: HeaderKey, Account: HeaderAccount,
	Result: HeaderResult, Outcome: HeaderOutcome, PrivatePrefix: "lapisvane-",
}

// Private reports whether a request's field of the given name, in lower case,
// is set by lapisvane itself and must not be forwarded.
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
