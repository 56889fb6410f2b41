// Package callmux carries many calls over one connection between two daemons.
// Each call is a stream of frames with a correlation id of its own; a frame
// for an unknown id is dropped, so that a late answer goes to nobody. Each
// direction of a stream has a window of bytes, so that a slow reader holds up
// only its own call and a call's memory is bounded.
package callmux
