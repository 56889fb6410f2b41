// Package logging writes one line of key=value pairs for each event, behind
// the logr interface.
package logging
