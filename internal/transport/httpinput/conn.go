package httpinput

import (
	"bytes"
	"sync"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/pkg/errors"
)

// Errors of reads. The connection cannot be used for another request after them.
var (
	// ErrSectionTooLong is returned if the parser needs more contiguous input than Limits.SectionBytes.
	ErrSectionTooLong = errors.New("the section is longer than the limit")
	// ErrNoMemory is returned if Limits.Memory is exhausted.
	ErrNoMemory = errors.New("the memory for input is exhausted")
)

// MinBufferBytes is the size in bytes of the buffer that a connection may use without a reservation. It
// holds the heads of ordinary requests, so that these are read even if Limits.Memory is exhausted.
const MinBufferBytes = 4 << 10

// Limits bound the input that a connection holds.
type Limits struct {
	// SectionBytes is the maximum size of contiguous input in bytes: of a head, a trailer section, or a
	// body that the library reads as a whole.
	SectionBytes int
	// Memory is the budget that the connection shares with others; it must not be nil.
	Memory *Memory
}

// Conn is a connection of the HTTP library whose input is bounded. Its reading methods must not be
// called concurrently; the others are those of the library's connection.
type Conn struct {
	network.Conn
	limits Limits
	// buffer[start:end] is the input that was read and not skipped; buffer is nil while there is none.
	// small is the array of a buffer without a reservation.
	buffer     []byte
	small      *smallBuffer
	start, end int
	// sawAll is true if the parser has peeked at all buffered input and skipped none of it. If it then
	// needs one more byte, it needs the end of a section.
	sawAll bool
}

// Wrap returns a connection that reads from conn within limits. It must replace conn before any input is
// read.
func Wrap(conn network.Conn, limits Limits) *Conn { return &Conn{Conn: conn, limits: limits} }

// LimitSection changes Limits.SectionBytes for the input that is read from now on.
func (c *Conn) LimitSection(bytes int) { c.limits.SectionBytes = bytes }

// Buffered returns the number of bytes that were read from the network and not skipped.
func (c *Conn) Buffered() int { return c.Len() + c.Conn.Len() }

// Len implements network.Reader. Peek(Len()) does not block and does not fail.
func (c *Conn) Len() int { return c.end - c.start }

// Peek implements network.Reader. The returned bytes are valid until the next call of a reading method.
// Errors: ErrSectionTooLong, ErrNoMemory and those of the connection.
func (c *Conn) Peek(count int) ([]byte, error) {
	needsSection := c.sawAll && count == c.Len()+1
	c.sawAll = false
	searched := c.Len()
	if err := c.fill(count); err != nil {
		return nil, err
	}
	if needsSection {
		if err := c.fillSection(searched); err != nil {
			return nil, err
		}
	}
	c.sawAll = count >= c.Len() || needsSection
	return c.buffer[c.start : c.start+count], nil
}

// fill reads until count bytes are buffered.
func (c *Conn) fill(count int) error {
	if count > c.Len() && count > c.limits.SectionBytes {
		return ErrSectionTooLong
	}
	for c.Len() < count {
		if err := c.read(count); err != nil {
			return err
		}
	}
	return nil
}

// fillSection reads until an empty line ends behind the first searched bytes of the input, or the limit
// is reached.
func (c *Conn) fillSection(searched int) error {
	for !endsSection(c.buffer[c.start:c.end], searched) && c.Len() < c.limits.SectionBytes {
		searched = c.Len()
		if err := c.read(searched + 1); err != nil {
			return err
		}
	}
	return nil
}

// endsSection reports whether an empty line ends in input[from:]. A section that is empty begins with it.
func endsSection(input []byte, from int) bool {
	if bytes.HasPrefix(input, []byte("\r\n")) || bytes.HasPrefix(input, []byte("\n")) {
		return true
	}
	const longestEnd = len("\n\r\n")
	input = input[max(0, from-longestEnd+1):]
	return bytes.Contains(input, []byte("\n\r\n")) || bytes.Contains(input, []byte("\n\n"))
}

// read reads once, into a buffer that has room for needed bytes.
func (c *Conn) read(needed int) error {
	if err := c.makeRoom(needed); err != nil {
		return err
	}
	count, err := c.Conn.Read(c.buffer[c.end:])
	c.end += count
	if count > 0 {
		// The library's connection returns an error again with the next read.
		return nil
	}
	return err
}

// makeRoom provides a buffer with room for needed bytes and for at least one more than it holds.
func (c *Conn) makeRoom(needed int) error {
	if c.buffer == nil {
		// While an idle connection waits here, it holds only the buffer of the library's connection.
		if _, err := c.Conn.Peek(1); err != nil {
			return err
		}
		c.useSmallBuffer()
	}
	if c.start > 0 && c.start+needed > len(c.buffer) {
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	}
	if needed <= len(c.buffer)-c.start && c.end < len(c.buffer) {
		return nil
	}
	return c.grow(needed)
}

// grow replaces the buffer by one that is at least twice as large, up to the limit of a section.
func (c *Conn) grow(needed int) error {
	size := max(needed, min(2*len(c.buffer), c.limits.SectionBytes))
	if !c.limits.Memory.Reserve(int64(size)) {
		return ErrNoMemory
	}
	grown := make([]byte, size)
	end := copy(grown, c.buffer[c.start:c.end])
	c.drop()
	c.buffer, c.end = grown, end
	return nil
}

// Room returns how many of count bytes a Peek can return without exceeding a limit.
func (c *Conn) Room(count int) int {
	count = min(count, c.limits.SectionBytes)
	if count <= max(MinBufferBytes, len(c.buffer)) {
		return count
	}
	if c.buffer == nil {
		c.useSmallBuffer()
	}
	if c.grow(count) != nil {
		return len(c.buffer)
	}
	return count
}

// Read implements io.Reader.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.Len() == 0 {
		c.drop()
		return c.Conn.Read(buffer)
	}
	count := copy(buffer, c.buffer[c.start:c.end])
	return count, c.Skip(count)
}

// ReadByte implements network.Reader.
func (c *Conn) ReadByte() (byte, error) {
	next, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	value := next[0]
	return value, c.Skip(1)
}

// ReadBinary implements network.Reader.
func (c *Conn) ReadBinary(count int) ([]byte, error) {
	next, err := c.Peek(count)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(next), c.Skip(count)
}

// Skip implements network.Reader.
func (c *Conn) Skip(count int) error {
	if count > c.Len() {
		return errors.Errorf("%d bytes cannot be skipped of %d", count, c.Len())
	}
	c.start += count
	c.sawAll = false
	return nil
}

// SkipInput discards between 1 and limit bytes of input and returns their number. While it waits for
// input, it holds no buffer of its own.
func (c *Conn) SkipInput(limit int64) (int64, error) {
	if c.Len() > 0 {
		count := min(limit, int64(c.Len()))
		return count, c.Skip(int(count))
	}
	c.drop()
	if _, err := c.Conn.Peek(1); err != nil {
		return 0, err
	}
	count := min(limit, int64(c.Conn.Len()))
	if err := c.Conn.Skip(int(count)); err != nil {
		return 0, err
	}
	return count, c.Conn.Release()
}

// Release implements network.Reader. A connection without unread input holds no buffer afterwards.
func (c *Conn) Release() error {
	c.sawAll = false
	if c.Len() == 0 {
		c.drop()
	}
	return nil
}

// Discard gives up the buffered input. It must not be called while a reading method runs.
func (c *Conn) Discard() { c.drop() }

// smallBuffer is the array of a buffer without a reservation.
type smallBuffer [MinBufferBytes]byte

// smallBuffers holds arrays for reuse.
var smallBuffers = sync.Pool{New: func() any { return new(smallBuffer) }}

// useSmallBuffer provides a buffer without a reservation.
func (c *Conn) useSmallBuffer() {
	c.small = smallBuffers.Get().(*smallBuffer)
	c.buffer = c.small[:]
}

// drop gives the buffer back, with the input in it.
func (c *Conn) drop() {
	switch {
	case c.small != nil:
		smallBuffers.Put(c.small)
	case c.buffer != nil:
		c.limits.Memory.Release(int64(len(c.buffer)))
	}
	c.buffer, c.small, c.start, c.end = nil, nil, 0, 0
}
