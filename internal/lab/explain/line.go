package explain

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Keys of every log line that Read decodes.
const (
	keyTime    = "time"
	keyNode    = "node"
	keyEvent   = "event"
	keyRequest = "request"
)

// maxLineBytes bounds the length of one line.
const maxLineBytes = 1 << 20

// Field is one key=value pair.
type Field struct{ Key, Value string }

// Line is one line of a daemon's log.
type Line struct {
	Time    time.Time
	Node    string
	Event   string
	Request string
	// Fields are all pairs in the order written, including those decoded above.
	Fields []Field
}

// Get returns the value of a key, or "" if the line does not have it.
func (l *Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Number returns the value of a key as an integer, or 0 if it is missing or not an integer.
func (l *Line) Number(key string) int64 {
	number, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// Read decodes the lines of a log and ignores text before the time key, such as a prefix added by a
// log collector. skipped counts the lines without a time or event key. The error for a malformed line
// names its number.
func Read(reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Text()
		begin := strings.Index(text, keyTime+"=")
		if begin < 0 || !strings.Contains(text, " "+keyEvent+"=") {
			skipped++
			continue
		}
		line, err := parse(text[begin:])
		if err != nil {
			return nil, skipped, fmt.Errorf("line %d: %w", number, err)
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text string) (Line, error) {
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	line := Line{}
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields = append(line.Fields, Field{Key: string(decoder.Key()), Value: string(decoder.Value())})
		}
	}
	if err := decoder.Err(); err != nil {
		return Line{}, err
	}
	at, err := time.Parse(time.RFC3339Nano, line.Get(keyTime))
	if err != nil {
		return Line{}, err
	}
	line.Time = at
	line.Node = line.Get(keyNode)
	line.Event = line.Get(keyEvent)
	line.Request = line.Get(keyRequest)
	return line, nil
}

// Sort sorts lines by time and keeps the order of lines with equal times.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}
