package httpinput

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"gotest.tools/v3/assert"
)

// inputConn is a connection of the library whose input is a fixed text.
type inputConn struct {
	network.Conn
	input    io.Reader
	buffered []byte
}

func (c *inputConn) Len() int { return len(c.buffered) }

func (c *inputConn) Peek(count int) ([]byte, error) {
	if len(c.buffered) < count {
		next := make([]byte, MinBufferBytes)
		read, err := c.input.Read(next)
		if err != nil {
			return nil, err
		}
		c.buffered = append(c.buffered, next[:read]...)
	}
	return c.buffered[:count], nil
}

func (c *inputConn) Skip(count int) error {
	c.buffered = c.buffered[count:]
	return nil
}

func (c *inputConn) Release() error { return nil }

func (c *inputConn) Read(buffer []byte) (int, error) { return c.input.Read(buffer) }

func wrapText(text string, limits Limits) *Conn {
	return Wrap(&inputConn{input: iotest.OneByteReader(strings.NewReader(text))}, limits)
}

// peekCounter counts the calls of Peek.
type peekCounter struct {
	*Conn
	peeks int
}

func (p *peekCounter) Peek(count int) ([]byte, error) {
	p.peeks++
	return p.Conn.Peek(count)
}

// Guards against a head that is parsed again from its start with each byte that arrives.
func TestHeadInSingleBytesIsParsedOnceItIsWhole(t *testing.T) {
	head := "GET /a HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("X-Field: value\r\n", 500) + "\r\n"
	memory := NewMemory(1 << 20)
	conn := &peekCounter{Conn: wrapText(head+"GET /b HTTP/1.1\r\n\r\n", Limits{SectionBytes: 16 << 10, Memory: memory})}
	var header protocol.RequestHeader
	assert.NilError(t, req.ReadHeaderWithLimit(&header, conn, 16<<10))
	assert.Equal(t, string(header.RequestURI()), "/a")
	assert.Assert(t, conn.peeks < 10, "%d peeks", conn.peeks)
	assert.NilError(t, req.ReadHeaderWithLimit(&header, conn, 16<<10))
	assert.Equal(t, string(header.RequestURI()), "/b")
	conn.Discard()
	assert.Equal(t, memory.used.Load(), int64(0))
}

func TestSectionsEndInTheWaysThatTheLibraryAccepts(t *testing.T) {
	for name, section := range map[string]string{
		"fields": "X-A: 1\r\nX-B: 2\r\n\r\n", "bare line feeds": "X-A: 1\n\n", "mixed": "X-A: 1\r\n\n", "empty": "\r\n", "empty with a bare line feed": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			const chunk = "1\r\nx\r\n0\r\n"
			conn := wrapText(chunk+section+"next", Limits{SectionBytes: 1 << 10, Memory: NewMemory(0)})
			content, err := io.ReadAll(chunkedBody(t, conn))
			assert.NilError(t, err)
			assert.Equal(t, string(content), "x")
			next, err := conn.ReadBinary(len("next"))
			assert.NilError(t, err)
			assert.Equal(t, string(next), "next")
		})
	}
}

// chunkedBody returns the library's decoder of a chunked body.
func chunkedBody(t *testing.T, conn *Conn) io.Reader {
	t.Helper()
	var request protocol.Request
	request.Header.InitContentLengthWithValue(-1)
	assert.NilError(t, req.ContinueReadBodyStream(&request, conn, 1<<20, false))
	return request.BodyStream()
}

// Guards against memory that grows with a trailer section or a line that never ends.
func TestEndlessInputEndsAtTheLimit(t *testing.T) {
	const limit = 8 << 10
	endless := strings.Repeat("X-Field: value\r\n", 10_000)
	for name, input := range map[string]string{"many trailers": endless, "one trailer": "X-Field: " + strings.Repeat("v", 100_000)} {
		t.Run(name, func(t *testing.T) {
			memory := NewMemory(1 << 20)
			conn := wrapText("0\r\n"+input, Limits{SectionBytes: limit, Memory: memory})
			_, err := io.ReadAll(chunkedBody(t, conn))
			assert.ErrorIs(t, err, ErrSectionTooLong)
			assert.Equal(t, conn.Len(), limit)
			conn.Discard()
			assert.Equal(t, memory.used.Load(), int64(0))
		})
	}
}

func TestExhaustedMemoryLeavesEachConnectionASmallBuffer(t *testing.T) {
	head := func(bytes int) string {
		const start, end = "GET /a HTTP/1.1\r\nX-Field: ", "\r\n\r\n"
		return start + strings.Repeat("v", bytes-len(start)-len(end)) + end
	}
	limits := Limits{SectionBytes: 16 << 10, Memory: NewMemory(0)}
	var header protocol.RequestHeader
	assert.NilError(t, req.ReadHeaderWithLimit(&header, wrapText(head(MinBufferBytes), limits), limits.SectionBytes))
	err := req.ReadHeaderWithLimit(&header, wrapText(head(MinBufferBytes+1), limits), limits.SectionBytes)
	assert.ErrorIs(t, err, ErrNoMemory)
	assert.Equal(t, wrapText("", limits).Room(10_000), MinBufferBytes)
	assert.Equal(t, wrapText("", Limits{SectionBytes: 16 << 10, Memory: NewMemory(1 << 20)}).Room(10_000), 10_000)
}

// An interrupted read keeps what has arrived.
func TestInterruptedReadKeepsItsInput(t *testing.T) {
	interrupted := iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("GET / HTTP/1.1\r\n\r\n")))
	conn := Wrap(&inputConn{input: interrupted}, Limits{SectionBytes: 1 << 10, Memory: NewMemory(0)})
	_, err := conn.Peek(10)
	assert.ErrorIs(t, err, iotest.ErrTimeout)
	assert.Equal(t, conn.Buffered(), 1)
	next, err := conn.Peek(3)
	assert.NilError(t, err)
	assert.Equal(t, string(next), "GET")
}

// The bytes of a body are read past the buffer once that is empty.
func TestReadReturnsBufferedInputFirst(t *testing.T) {
	conn := wrapText("abc", Limits{SectionBytes: 1 << 10, Memory: NewMemory(0)})
	_, err := conn.Peek(2)
	assert.NilError(t, err)
	content, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "abc")
}
