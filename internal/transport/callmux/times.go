package callmux

import "time"

// How long a peer is waited for, from the shortest to the longest; TestTimesHangTogether checks
// which must be below which. The times that a daemon on a platform sets (KeepAlive, Silence, Write
// and the bounds of Stall) are in package daemon and tested there.
const (
	// fencePoll is the interval at which a call polls for a new connection over which its attempt
	// can be fenced. It is several times within fenceTimeout.
	fencePoll = 20 * time.Millisecond
	// dialRetry is how long a failed dial is remembered, so that calls to a dead daemon fail at
	// once. It is below fenceTimeout, so that a fence outlasts one.
	dialRetry = 200 * time.Millisecond
	// dialTimeout bounds the handshake of a connection, which takes two ways of the network, 40 ms
	// between regions. A dial without answer is given up before the kernel sends the opening packet
	// again, after 1 s: the peer may be back sooner.
	dialTimeout = 300 * time.Millisecond
	// fenceTimeout bounds the fencing of a call whose connection was lost, the wait for a new
	// connection included. It is above dialTimeout.
	fenceTimeout = 500 * time.Millisecond
	// openTimeout bounds the opening of a session, from the dial to the peer's greeting. It is not
	// above the time that the accepting side gives a greeting.
	openTimeout = 3 * time.Second
)

// Timing bounds a session.
type Timing struct {
	// KeepAlive is the interval of heartbeats, so that silence means loss.
	KeepAlive time.Duration
	// Silence is the time without any frame after which a session counts as lost.
	Silence time.Duration
	// Write bounds the sending of a frame.
	Write time.Duration
	// Local returns the state that heartbeats carry; it may be nil.
	Local func() Heartbeat
	// LinkMegabits is the rate of the machine's link in Mbit/s, 0 where it is not known.
	LinkMegabits float64
}

// DefaultTiming holds where nothing else is set. Two lost heartbeats end no session.
var DefaultTiming = Timing{KeepAlive: 4 * time.Second, Silence: 12 * time.Second, Write: 10 * time.Second}

func (t Timing) orDefault() Timing {
	if t.KeepAlive == 0 {
		return DefaultTiming
	}
	return t
}
