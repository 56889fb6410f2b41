// Package httpinput bounds the memory that HTTP connections hold for input which their peers choose:
// heads, trailer sections, chunk lines and bodies that are not complete.
//
// The HTTP library's own connection keeps everything that its parser has peeked at until a request
// ends, without a limit, and copies it anew for each piece that arrives: 10,000 bytes of a head that
// arrived one by one held 3 MB. Conn replaces its reader by one contiguous buffer. The parser stays the
// library's.
//
// Bounds: a connection holds at most Limits.SectionBytes, and all connections that share a Memory hold
// at most its limit beyond the MinBufferBytes that each of them may always use. A parser that needs the
// end of a section is woken when it has arrived, not for each piece of it, so that the work grows with
// the bytes and not with their square.
package httpinput
