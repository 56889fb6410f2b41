package result

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Error is a failure with a result code. It is not changed once it was returned.
type Error struct {
	Code Code
	// Detail is for logs; it may hold addresses and names of the inside.
	Detail string
	// Cause is the underlying error; nil when there is none.
	Cause error
	// RetryAfter is the time after which trying again makes sense; 0 when not known.
	RetryAfter time.Duration
	// Crashes is the number of instances that crashed under what a call asks for; 0 for an
	// error that is not about a crash.
	Crashes int
	// WorkPercent is how long work takes at the instance that did not run a call, in percent of
	// what is usual there, as it stated WorkAge ago; 0 where it stated none.
	WorkPercent uint32
	WorkAge     time.Duration
}

// Error renders the code's number and name before the detail.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Errorf returns an Error with a formatted detail.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that keeps cause; it returns nil for a nil cause, so that the result of a
// last call may be wrapped as it is returned.
func Wrap(code Code, cause error, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// CodeOf returns the code of the first Error in err's chain, OK for nil, and
// otherwise 0 with ok false.
func CodeOf(err error) (code Code, ok bool) {
	if err == nil {
		return OK, true
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code, true
	}
	return 0, false
}

// Is reports whether err carries code.
func Is(err error, code Code) bool {
	found, ok := CodeOf(err)
	return ok && found == code && err != nil
}

// List is a set of faults found together, such as by the validation of a
// proposal. An empty list is no error. It is not safe for concurrent use.
type List struct {
	Faults []*Error
}

// Add appends a fault.
func (l *List) Add(code Code, format string, args ...any) {
	l.Faults = append(l.Faults, Errorf(code, format, args...))
}

// Err returns the list as an error, nil when it is empty.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	return l
}

// Error renders one fault a line.
func (l *List) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for _, fault := range l.Faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that CodeOf gives the code of the first.
func (l *List) Unwrap() []error {
	faults := make([]error, 0, len(l.Faults))
	for _, fault := range l.Faults {
		faults = append(faults, fault)
	}
	return faults
}
