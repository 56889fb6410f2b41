package callmux

import "time"

// Intervals and timeouts for peers, from the shortest to the longest. TestTimesHangTogether checks
// their order. The values for a daemon on a platform (KeepAlive, Silence, Write and the fields of
// Stall) are set and tested in package daemon.
const (
	// fencePollInterval is the interval at which a call checks for a new connection over which its
	// attempt can be fenced. It must fit several times into fenceTimeout.
	fencePollInterval = 20 * time.Millisecond
	// dialFailureTTL is how long a failed dial is remembered, so that calls to an unreachable daemon
	// fail immediately. It must be below fenceTimeout, so that a fence can dial again.
	dialFailureTTL = 200 * time.Millisecond
	// dialTimeout bounds the TCP handshake, which takes one round trip (two one-way delays of 40 ms
	// between regions). An unanswered dial is abandoned before the kernel retransmits the SYN after
	// 1 s, since the peer may be back earlier.
	dialTimeout = 300 * time.Millisecond
	// fenceTimeout bounds the fencing of a call whose connection was lost, including the wait for a
	// new connection. It must be above dialTimeout.
	fenceTimeout = 500 * time.Millisecond
	// openTimeout bounds the opening of a session, from the dial to the peer's greeting. It must not
	// exceed the accepting side's greeting timeout (peer.GreetingTimeout).
	openTimeout = 3 * time.Second
)

// Timing holds the intervals and timeouts of a session.
type Timing struct {
	// KeepAlive is the interval of heartbeats. It must be below Silence, so that an idle session is
	// not taken for a lost one.
	KeepAlive time.Duration
	// Silence is the time without a received frame after which a session is considered lost.
	Silence time.Duration
	// Write is the timeout for writing frames.
	Write time.Duration
	// Local returns this daemon's state for outgoing heartbeats. If nil, heartbeats are empty.
	Local func() Heartbeat
	// LinkMegabits is the rate of the machine's network link in Mbit/s, or 0 if unknown.
	LinkMegabits float64
}

// DefaultTiming is used when no Timing is set. A session survives two lost heartbeats.
var DefaultTiming = Timing{KeepAlive: 4 * time.Second, Silence: 12 * time.Second, Write: 10 * time.Second}

func (t Timing) orDefault() Timing {
	if t.KeepAlive == 0 {
		return DefaultTiming
	}
	return t
}
