// Package wire carries the Protocol Buffers frames that daemons exchange over
// TCP or TLS. A connection starts with a fixed preface; every frame is
// length-prefixed and bounded in size, so that a peer that sends garbage costs
// no more than one bounded buffer.
package wire
