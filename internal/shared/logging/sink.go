// Package logging writes one line of key=value pairs for each event, behind the logr interface (logr
// over log/slog).
//
// It owns the goroutine of each AsyncWriter, which ends with Close. Loggers are safe for concurrent
// use.
//
// What must hold: logging through an AsyncWriter never waits for the output; dropped lines are
// counted, and the count is written; an event stays on one line.
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

// Keys of lines; keyLogrError is what logr calls keyError.
const (
	keyEvent     = "event"
	keyError     = "error"
	keyLogrError = "err"
)

// Names of the levels in lines.
const (
	levelDebug = "debug"
	levelInfo  = "info"
	levelError = "error"
)

// New returns a logger that writes events up to verbosity (logr's V levels) to writer, each with
// the time of day in UTC. The text handler of log/slog renders the lines.
func New(writer io.Writer, verbosity int) logr.Logger {
	return logr.FromSlogHandler(slog.NewTextHandler(writer, &slog.HandlerOptions{
		// logr passes the verbosity as a negative level.
		Level:       slog.Level(-verbosity),
		ReplaceAttr: render,
	}))
}

// NewPlain returns a logger without time and level, for results that are
// compared or shown on a console.
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

// render gives the handler's own fields the project's names, and values a form on one line.
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

// decimal renders a number with three decimals.
func decimal(value float64) string {
	if math.IsNaN(value) {
		return "NaN"
	}
	return strconv.FormatFloat(value, 'f', 3, 64)
}

// levelName returns the name of a level; logr has no more than the three.
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
