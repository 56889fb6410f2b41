package result

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a result code. It must not be modified after it was returned.
type Error struct {
	Code Code
	// Detail is a text for logs. It may contain internal addresses and names.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
	// RetryAfter is the recommended delay before a retry, or 0 if unknown.
	RetryAfter time.Duration
	// Crashes is the number of instance crashes attributed to the same request, or 0 if the error is not
	// about a crash.
	Crashes int
	// WorkPercent is the current service time of the instance that refused a call, in percent of its
	// usual service time, or 0 if the instance reported none. WorkAge is the age of the report.
	WorkPercent uint32
	WorkAge     time.Duration
}

// Error returns the code's number and name, the detail and the cause.
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

// Wrap returns an Error with a formatted detail and the given cause. It returns nil for a nil cause, so
// that the error of a final call can be wrapped in the return statement.
func Wrap(code Code, cause error, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// CodeOf returns the code of the first Error in err's chain, or OK if err is nil. If the chain has no
// Error, ok is false.
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

// List collects several errors, such as the faults found in a proposal. It is not safe for concurrent
// use.
type List struct {
	Faults []*Error
}

// Add appends a fault.
func (l *List) Add(code Code, format string, args ...any) {
	l.Faults = append(l.Faults, Errorf(code, format, args...))
}

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	return l
}

// Error returns the faults, one per line.
func (l *List) Error() string {
	lines := make([]string, 0, len(l.Faults))
	for _, fault := range l.Faults {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that CodeOf returns the code of the first one.
func (l *List) Unwrap() []error {
	faults := make([]error, 0, len(l.Faults))
	for _, fault := range l.Faults {
		faults = append(faults, fault)
	}
	return faults
}
