// Package callmux multiplexes calls over one connection between two daemons.
// Each call is a stream of frames with its own correlation id. Frames with an
// unknown id are dropped, so a late answer cannot be delivered to another call.
// Each direction of a stream has a flow control window in bytes, which bounds
// the memory of a call and keeps a slow reader from blocking other calls.
//
// The package owns the connections to other daemons (Client) and the sessions on accepted
// connections (Server). Each session has one goroutine that reads frames and one that sends
// heartbeats. Each received call has a goroutine, and each sent call has one until its request is
// written. All of them end with the session. The package relies on package wire for frames, on
// package peer for accepted connections and on an Origin to run received calls.
//
// Invariants: a call whose connection is lost is reported as not run only if the same process of
// the peer fenced it before it started (fence.go); the age of a peer's confirmation is never
// understated (echoes.go); the durations in times.go satisfy the relations that
// TestTimesHangTogether checks.
package callmux
