// Package containment limits a panic to the work in which it happened: one call, connection, frame or answer
// of the store. Only work that changes no state besides its own may be contained; a panic anywhere else ends
// the process, because a state that is half changed, or a mutex that stays locked, is worse than a restart.
//
// A program turns containment on with Enable. Without it, as in tests, a panic ends the process as usual.
// The package owns the number of contained panics, and the names of the works of which one was reported;
// these are constants, at most one for each caller of Recover. Its functions are safe for concurrent use.
package containment

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
)

// Report receives the first contained panic of each work, with its stack.
type Report func(work string, cause any, stack []byte)

var (
	report    atomic.Pointer[Report]
	contained atomic.Int64
	// reported holds the works of which a panic was reported.
	reported sync.Map
)

// PanicError is the error of work that panicked.
type PanicError struct {
	// Work names what panicked, and Cause is the value of the panic.
	Work  string
	Cause any
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Work, e.Cause) }

// Enable turns containment on for the whole process, which runs one daemon. disable turns it off again.
func Enable(onFirst Report) (disable func()) {
	report.Store(&onFirst)
	return func() { report.Store(nil) }
}

// Contained returns the number of panics that Recover and Count have counted.
func Contained() int64 { return contained.Load() }

// Count counts a panic that its caller recovered and logs itself.
func Count() { contained.Add(1) }

// Recover ends a panic of the function that defers it, if containment is enabled, and then calls ended with
// a *PanicError. work is a constant that names the kind of work. It must be deferred directly.
func Recover(work string, ended func(error)) {
	onFirst := report.Load()
	if onFirst == nil {
		return
	}
	cause := recover()
	if cause == nil {
		return
	}
	contained.Add(1)
	if _, again := reported.LoadOrStore(work, true); !again {
		(*onFirst)(work, cause, debug.Stack())
	}
	ended(&PanicError{Work: work, Cause: cause})
}
