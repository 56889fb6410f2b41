// Package logging provides logr loggers, based on log/slog, that write one line of key=value pairs per
// event.
//
// The package owns the goroutine of each AsyncWriter, which ends with Close. Loggers are safe for
// concurrent use.
//
// Invariants: logging through an AsyncWriter never blocks on the output; dropped lines are counted and
// the count is logged; an event is always a single line.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"strconv"

	"github.com/go-logr/logr"
)

// timestampLayout is RFC 3339 with milliseconds, in UTC.
const timestampLayout = "2006-01-02T15:04:05.000Z"

// Keys in log lines. logr names the error key keyLogrError, which is replaced by keyError.
const (
	keyEvent     = "event"
	keyError     = "error"
	keyLogrError = "err"
)

// Level names in log lines.
const (
	levelDebug = "debug"
	levelInfo  = "info"
	levelError = "error"
)

// New returns a logger that writes events up to verbosity (logr's V levels) to writer. Each line has a
// timestamp in UTC.
func New(writer io.Writer, verbosity int) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{
		// logr passes the verbosity as a negative level.
		Level:       slog.Level(-verbosity),
		ReplaceAttr: render,
	}))
}

// NewPlain returns a logger without timestamps and levels, for output that is compared or shown on a
// console.
func NewPlain(writer io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{
		ReplaceAttr: func(groups []string, attribute slog.Attr) slog.Attr {
			if attribute.Key == slog.TimeKey || attribute.Key == slog.LevelKey {
				return slog.Attr{}
			}
			return render(groups, attribute)
		},
	}))
}

// render is a slog.HandlerOptions.ReplaceAttr function. It renames slog's and logr's built-in keys and
// formats values as single-line strings.
func render(_ []string, attribute slog.Attr) slog.Attr {
	switch attribute.Key {
	case slog.MessageKey:
		attribute.Key = keyEvent
		return attribute
	case slog.TimeKey:
		attribute.Value = slog.StringValue(attribute.Value.Time().UTC().Format(timestampLayout))
		return attribute
	case slog.LevelKey:
		attribute.Value = slog.StringValue(levelName(attribute.Value))
		return attribute
	}
	if attribute.Key == keyLogrError {
		attribute.Key = keyError
	}
	switch value := attribute.Value.Any().(type) {
	case float64:
		attribute.Value = slog.StringValue(decimal(value))
	case error:
		attribute.Value = slog.StringValue(value.Error())
	case fmt.Stringer:
		attribute.Value = slog.StringValue(value.String())
	}
	return attribute
}

// decimal formats a number with three decimal places.
func decimal(value float64) string {
	if math.IsNaN(value) {
		return "NaN"
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

// levelName returns the name of a level. logr uses only the three levels debug, info and error.
func levelName(value slog.Value) string {
	level, ok := value.Any().(slog.Level)
	switch {
	case !ok || level == slog.LevelInfo:
		return levelInfo
	case level > slog.LevelInfo:
		return levelError
	default:
		return levelDebug
	}
}
