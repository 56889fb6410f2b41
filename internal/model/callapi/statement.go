package callapi

import "net/http"

// Statement is what a back end states about itself in the header of an answer. The zero value states
// nothing.
type Statement struct {
	// Limit is the rate that the back end accepts.
	Limit RateLimit
	// Leaving is true if the back end is about to leave and must get no further calls.
	Leaving bool
}

// RateLimit is the rate of calls that a back end accepts from all daemons together. The zero value is no
// limit.
type RateLimit struct {
	// PerSecond is the number of calls per second; it may be 0 or a fraction.
	PerSecond float64
	// Stated is false if the back end states no limit. PerSecond is then 0.
	Stated bool
}

// MinRateLimit is the minimum rate, in calls per second, that daemons admit under any RateLimit: one call
// in four seconds. Only an answer shows that a limit has ended, so a back end that accepts no calls must
// still get one now and then.
const MinRateLimit = 0.25

// StatementReader reads the statement in the header of an answer. It is safe for concurrent use.
type StatementReader struct {
	Read func(header http.Header) Statement
}

// Statement returns what a back end states about itself in the header of an answer.
func (e *Envelope) Statement(header http.Header) Statement {
	if e.Statements == nil {
		return Statement{}
	}
	return e.Statements.Read(header)
}
