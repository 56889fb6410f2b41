package logging

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// timestampLayout is RFC 3339 with milliseconds, in UTC.
const timestampLayout = "2006-01-02T15:04:05.000Z"

// output serializes the lines of all loggers that share a writer.
type output struct {
	mutex  sync.Mutex
	writer io.Writer
}

// sink is a logr.LogSink that renders key=value lines.
type sink struct {
	output    *output
	prefix    string
	verbosity int
	timestamp bool
}

// New returns a logger that writes events up to verbosity to writer, each with
// the time of day.
func New(writer io.Writer, verbosity int) logr.Logger {
	return logr.New(&sink{output: &output{writer: writer}, verbosity: verbosity, timestamp: true})
}

// NewPlain returns a logger without timestamps, for results that are compared
// or shown on a console.
func NewPlain(writer io.Writer) logr.Logger {
	return logr.New(&sink{output: &output{writer: writer}})
}

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return level <= s.verbosity }

// Info implements logr.LogSink; message is the event's name.
func (s *sink) Info(_ int, message string, pairs ...any) {
	s.write("info", message, pairs)
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, message string, pairs ...any) {
	if err != nil {
		pairs = append(append([]any{}, pairs...), "error", err.Error())
	}
	s.write("error", message, pairs)
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(pairs ...any) logr.LogSink {
	copied := *s
	copied.prefix = s.prefix + renderPairs(pairs)
	return &copied
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	return s.WithValues("component", name)
}

func (s *sink) write(level, event string, pairs []any) {
	var line strings.Builder
	if s.timestamp {
		fmt.Fprintf(&line, "time=%s level=%s ", time.Now().UTC().Format(timestampLayout), level)
	}
	line.WriteString("event=" + quote(event))
	line.WriteString(s.prefix)
	line.WriteString(renderPairs(pairs))
	line.WriteByte('\n')
	s.output.mutex.Lock()
	defer s.output.mutex.Unlock()
	_, _ = io.WriteString(s.output.writer, line.String())
}

func renderPairs(pairs []any) string {
	var text strings.Builder
	for index := 0; index+1 < len(pairs); index += 2 {
		fmt.Fprintf(&text, " %v=%s", pairs[index], quote(renderValue(pairs[index+1])))
	}
	return text.String()
}

func renderValue(value any) string {
	switch typed := value.(type) {
	case float64:
		return strconv.FormatFloat(typed, 'f', 3, 64)
	case fmt.Stringer:
		return typed.String()
	case error:
		return typed.Error()
	default:
		return fmt.Sprint(value)
	}
}

// quote puts a value in double quotes when a plain word would be ambiguous.
func quote(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\r\n\"=") {
		return strconv.Quote(value)
	}
	return value
}
