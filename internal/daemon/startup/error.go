package startup

import (
	"syscall"

	"github.com/pkg/errors"
)

// Steps of a start that are not named by the key of a setting.
const (
	// StepSettings reads and checks the settings file.
	StepSettings = "settings"
	// StepPlatform selects the adapter to the platform.
	StepPlatform = "platform"
	// StepPeerTLS reads the certificates for connections between daemons.
	StepPeerTLS = "peer_tls"
)

// ErrStopped is returned for a start that a stop signal ended.
var ErrStopped = errors.New("stopped before the start was complete")

// ErrChanged is returned for a step that waited in vain while the settings changed.
var ErrChanged = errors.New("the settings have changed")

// Error is the failure of one step of a start. It must not be modified after it was returned.
type Error struct {
	// Step is the name of the step. For a listen address it is the key of the setting.
	Step string
	// Subject is the file, address or name that the step needs.
	Subject string
	// Cause is never nil.
	Cause error
	// Transient is true if the step may succeed later without a change by an operator.
	Transient bool
	// Expired is true for a transient error that lasted until the limit of the start.
	Expired bool
}

// Failed returns an Error that is transient if the system's error is, or nil for a nil cause, so that
// the error of a final call can be passed in the return statement.
func Failed(step, subject string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Step: step, Subject: subject, Cause: cause, Transient: isTransient(cause)}
}

// Error returns the text of the cause, which names the setting at fault.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// isTransient reports whether an error of the operating system may pass by itself: another process has
// the address, the machine does not have it yet, or descriptors or memory are short.
func isTransient(err error) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	switch number {
	case syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN, syscall.EINTR:
		return true
	default:
		return false
	}
}
