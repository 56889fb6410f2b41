// Package callmux carries many calls over one connection between two daemons.
// Each call is a stream of frames with a correlation id of its own; a frame
// for an unknown id is dropped, so that a late answer goes to nobody. Each
// direction of a stream has a window of bytes, so that a slow reader holds up
// only its own call and a call's memory is bounded.
//
// The package owns the connections to other daemons (Client) and what runs on an accepted one
// (Server): for each session a goroutine that reads and one that sends heartbeats, one for each call
// received, and one for each call sent until it is written. All of them end with the session. It relies on package wire for frames, on package
// peer for accepted connections and on the Origin to run the calls received.
//
// What must hold: a call whose connection is lost counts as not run only where the same process of
// the peer has fenced it before it started (fence.go); a peer's confirmation never looks
// fresher than it is (echoes.go); the times in times.go hang together as TestTimesHangTogether says.
package callmux
