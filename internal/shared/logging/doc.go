// Package logging writes one line of key=value pairs for each event, behind
// the logr interface (logr over log/slog).
//
// It owns the goroutine of each AsyncWriter, which ends with Close. Loggers are safe for concurrent
// use.
//
// What must hold: whoever logs through an AsyncWriter never waits for the output; lines that are dropped are counted, and
// the count is written; an event stays on one line.
package logging
