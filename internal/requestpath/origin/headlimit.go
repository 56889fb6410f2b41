package origin

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Limits of the response heads of one exchange. Those of all connections to a back end, of which there are a
// hundred or so, must fit into the daemon's memory together with what is decoded from them.
const (
	// maxResponseHeadBytes and maxResponseHeadLines limit the bytes and the lines of the heads. Each field costs
	// more memory than its bytes, so both are needed. The gateway takes as many bytes of a request's head.
	maxResponseHeadBytes = 64 << 10
	maxResponseHeadLines = 256
	// maxInterimResponses is the number of informational (1xx) responses before the final one.
	maxInterimResponses = 16
)

// Errors of an exchange whose response exceeds these limits.
var (
	errResponseHeadTooLong     = errors.Errorf("the response head exceeds %d bytes or %d lines", maxResponseHeadBytes, maxResponseHeadLines)
	errTooManyInterimResponses = errors.Errorf("more than %d informational responses", maxInterimResponses)
)

// headLimiter reads from a back end, and limits what it reads while a response head is expected. net/http sets no
// limit to the head that ReadResponse keeps. The reader above it must read at most backendBufferBytes ahead: what
// follows the end of a head in the same read is not limited.
type headLimiter struct {
	source io.Reader
	// inHead is true from beginHead until the empty line that ends the head was read, or until endHead.
	inHead bool
	// bytes and lines are what is left of the limits.
	bytes, lines int
	// lineBytes is the number of bytes of the present line so far, without its line feed. returns is the
	// number of carriage returns among them.
	lineBytes, returns int
	// exceeded is true once a read was refused.
	exceeded bool
}

// beginExchange grants the limits of a new exchange.
func (l *headLimiter) beginExchange() {
	l.bytes, l.lines, l.exceeded = maxResponseHeadBytes, maxResponseHeadLines, false
}

// beginHead limits what is read until the end of the next head.
func (l *headLimiter) beginHead() {
	l.inHead, l.lineBytes, l.returns = true, 0, 0
}

// endHead ends the limit, because the head was parsed or refused: net/http may take other lines for the end. It
// reports whether the head exceeds the limits, which shows only afterwards if all of it came with one read.
func (l *headLimiter) endHead() (exceeded bool) {
	l.inHead = false
	return l.exceeded || l.lines < 0
}

// Read implements io.Reader. Errors: errResponseHeadTooLong, and those of the source.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(buffer)
	}
	if l.bytes <= 0 || l.lines <= 0 {
		l.exceeded = true
		return 0, errResponseHeadTooLong
	}
	count, err := l.source.Read(buffer[:min(len(buffer), l.bytes)])
	l.record(buffer[:count])
	return count, err
}

// record counts the bytes and lines of the head in content.
func (l *headLimiter) record(content []byte) {
	for len(content) > 0 && l.inHead {
		line, rest, ended := bytes.Cut(content, []byte{'\n'})
		l.bytes -= len(content) - len(rest)
		l.lineBytes += len(line)
		l.returns += bytes.Count(line, []byte{'\r'})
		if ended {
			l.lines--
			isEmpty := l.lineBytes == 0 || (l.lineBytes == 1 && l.returns == 1)
			l.inHead, l.lineBytes, l.returns = !isEmpty, 0, 0
		}
		content = rest
	}
}
