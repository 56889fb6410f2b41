// Package wire carries the Protocol Buffers frames that daemons exchange over
// TCP or TLS. A connection starts with a fixed preface; every frame is
// length-prefixed and bounded in size, so that a peer that sends garbage costs
// no more than one bounded buffer.
//
// The package owns the buffers of a connection and counts its traffic; it has no goroutines. It
// relies on Network for connections, which tests replace.
//
// What must hold: frames of one Send or SendAll are not mixed with others; a frame, compressed or not,
// holds at most MaxFrameBytes.
package wire
