// Package startup holds the rules for the steps of a daemon's start: what an error of a step says.
// It keeps no state.
package startup

// Steps of a start that are not named by the key of a setting.
const (
	// StepSettings reads and checks the settings file.
	StepSettings = "settings"
	// StepPlatform selects the adapter to the platform.
	StepPlatform = "platform"
	// StepPeerTLS reads the certificates for connections between daemons.
	StepPeerTLS = "peer_tls"
)

// Error is the failure of one step of a start. It must not be modified after it was returned.
type Error struct {
	// Step is the name of the step. For a listen address it is the key of the setting.
	Step string
	// Subject is the file, address or name that the step needs.
	Subject string
	// Cause is never nil.
	Cause error
}

// Failed returns an Error, or nil for a nil cause, so that the error of a final call can be passed in
// the return statement.
func Failed(step, subject string, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{Step: step, Subject: subject, Cause: cause}
}

// Error returns the text of the cause, which names the setting at fault.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
