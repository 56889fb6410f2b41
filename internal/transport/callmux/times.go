package callmux

import "time"

// Intervals and timeouts for peers, from the shortest to the longest. TestTimesHangTogether checks
// their order. The values for a daemon on a platform (HeartbeatInterval, SilenceTimeout, WriteTimeout
// and the fields of Stall) are set and tested in package daemon.
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
	// HeartbeatInterval is the interval of heartbeats. It must be below SilenceTimeout, so that an
	// idle session is not taken for a lost one.
	HeartbeatInterval time.Duration
	// SilenceTimeout is the time without a received frame after which a session is considered lost.
	SilenceTimeout time.Duration
	// WriteTimeout is the timeout for writing frames.
	WriteTimeout time.Duration
	// LocalState returns this daemon's state for outgoing heartbeats. If nil, heartbeats are empty.
	LocalState func() Heartbeat
	// LinkMegabits is the rate of the machine's network link in Mbit/s, or 0 if unknown.
	LinkMegabits float64
}

// DefaultTiming is used when no Timing is set. A session survives two lost heartbeats.
var DefaultTiming = Timing{HeartbeatInterval: 4 * time.Second, SilenceTimeout: 12 * time.Second, WriteTimeout: 10 * time.Second}

func (t Timing) orDefault() Timing {
	if t.HeartbeatInterval == 0 {
		return DefaultTiming
	}
	return t
}
