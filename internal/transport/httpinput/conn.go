package httpinput

import (
	"bytes"

	"github.com/bytedance/gopkg/lang/mcache"
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
//
// Input that one read of the library's connection returned is used in place. Only if the parser needs
// more at a time, the input moves to a buffer of Conn. The library's connection is released only when
// all of its input was used: otherwise it adds buffers, and doubles their size, up to 512 KiB.
type Conn struct {
	network.Conn
	limits Limits
	// buffer[start:end] is the input that was read and not skipped, before that in the library's
	// connection; buffer is nil while all input is there. A buffer longer than MinBufferBytes is reserved
	// in limits.Memory.
	buffer     []byte
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
func (c *Conn) Buffered() int { return c.end - c.start + c.Conn.Len() }

// Len implements network.Reader. Peek(Len()) does not block and does not fail.
func (c *Conn) Len() int {
	if c.buffer == nil {
		return c.Conn.Len()
	}
	return c.end - c.start
}

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
	return c.peekBuffered(count)
}

// peekBuffered returns count bytes of the buffered input, which has as many.
func (c *Conn) peekBuffered(count int) ([]byte, error) {
	if c.buffer == nil {
		return c.Conn.Peek(count)
	}
	return c.buffer[c.start : c.start+count], nil
}

// fill reads until count bytes are buffered.
func (c *Conn) fill(count int) error {
	if count > c.Len() && count > c.limits.SectionBytes {
		return ErrSectionTooLong
	}
	if c.buffer == nil {
		if err := c.awaitInput(); err != nil {
			return err
		}
	}
	for c.Len() < count {
		if err := c.read(count); err != nil {
			return err
		}
	}
	return nil
}

// awaitInput waits for input in the library's connection, unless there is some.
func (c *Conn) awaitInput() error {
	if c.Conn.Len() > 0 {
		return nil
	}
	// Otherwise the library's connection would keep what was skipped. Its release always returns nil.
	_ = c.Conn.Release()
	_, err := c.Conn.Peek(1)
	return err
}

// take moves input of the library's connection to a buffer and returns the number of bytes.
func (c *Conn) take(buffer []byte) (int, error) {
	input, err := c.Conn.Peek(min(len(buffer), c.Conn.Len()))
	if err != nil {
		return 0, err
	}
	count := copy(buffer, input)
	return count, c.Conn.Skip(count)
}

// fillSection reads until an empty line ends behind the first searched bytes of the input, or the limit
// is reached.
func (c *Conn) fillSection(searched int) error {
	for c.Len() < c.limits.SectionBytes {
		input, err := c.peekBuffered(c.Len())
		if err != nil || endsSection(input, searched) {
			return err
		}
		searched = len(input)
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

// read reads once into a buffer that has room for needed bytes.
func (c *Conn) read(needed int) error {
	if c.buffer == nil {
		c.buffer = mcache.Malloc(MinBufferBytes)
	}
	if err := c.makeRoom(needed); err != nil {
		return err
	}
	if err := c.awaitInput(); err != nil {
		return err
	}
	count, err := c.take(c.buffer[c.end:])
	c.end += count
	return err
}

// makeRoom makes room in the buffer for needed bytes and for at least one more than it holds.
func (c *Conn) makeRoom(needed int) error {
	if c.start > 0 && c.start+needed > len(c.buffer) {
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
	}
	if needed <= len(c.buffer)-c.start && c.end < len(c.buffer) {
		return nil
	}
	return c.grow(needed)
}

// grow replaces the buffer by one that is at least twice as large, up to the limit of a section. The
// library's pool rounds its size up to a power of two.
func (c *Conn) grow(needed int) error {
	grown := mcache.Malloc(max(needed, min(2*len(c.buffer), c.limits.SectionBytes)))
	grown = grown[:cap(grown)]
	if !c.limits.Memory.Reserve(int64(len(grown))) {
		mcache.Free(grown)
		return ErrNoMemory
	}
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
	if c.buffer == nil && c.Conn.Len() > 0 {
		// What has arrived is used in place first.
		return MinBufferBytes
	}
	if c.buffer == nil {
		c.buffer = mcache.Malloc(MinBufferBytes)
	}
	if c.grow(count) != nil {
		return len(c.buffer)
	}
	return count
}

// Read implements io.Reader.
func (c *Conn) Read(buffer []byte) (int, error) {
	c.sawAll = false
	if c.end > c.start {
		count := copy(buffer, c.buffer[c.start:c.end])
		return count, c.Skip(count)
	}
	c.drop()
	if c.Conn.Len() == 0 && len(buffer) > MinBufferBytes {
		_ = c.Conn.Release() // It always returns nil.
		return c.Conn.Read(buffer)
	}
	if err := c.awaitInput(); err != nil {
		return 0, err
	}
	return c.take(buffer)
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
	c.sawAll = false
	if c.buffer == nil {
		return c.Conn.Skip(count)
	}
	c.start += count
	return nil
}

// SkipInput discards between 1 and limit bytes of input and returns their number. While it waits for
// input, it holds no buffer besides that of the library's connection.
func (c *Conn) SkipInput(limit int64) (int64, error) {
	if c.Len() == 0 {
		c.drop()
		if err := c.awaitInput(); err != nil {
			return 0, err
		}
	}
	count := min(limit, int64(c.Len()))
	return count, c.Skip(int(count))
}

// Release implements network.Reader. A connection without unread input holds no buffer afterwards
// besides that of the library's connection.
func (c *Conn) Release() error {
	c.sawAll = false
	if c.end == c.start {
		c.drop()
	}
	if c.Conn.Len() > 0 {
		return nil
	}
	return c.Conn.Release()
}

// Discard gives up the buffered input. It must not be called while a reading method runs.
func (c *Conn) Discard() { c.drop() }

// drop gives the buffer back, with the input in it.
func (c *Conn) drop() {
	if len(c.buffer) > MinBufferBytes {
		c.limits.Memory.Release(int64(len(c.buffer)))
	}
	if c.buffer != nil {
		mcache.Free(c.buffer)
	}
	c.buffer, c.start, c.end = nil, 0, 0
}
