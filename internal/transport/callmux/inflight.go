package callmux

import "time"

// On a narrow link a long body must not delay the short calls behind it: at 5 Mbit/s one of 60 kB
// occupies the link for 0.1 s. A body therefore has no more on its way than the narrower of both
// machines' links carries in linkTime, even where the window allows more.

const (
	// linkTime is how long the bytes of one body that are on their way may occupy a
	// link.
	linkTime = 25 * time.Millisecond
	// minInFlight, in bytes, keeps a body flowing over a link with long latency.
	minInFlight = 8 << 10
	// inFlightPieces is the number of pieces that the bytes on their way are sent, and
	// acknowledged, in. It is above 1, or a body would wait for each acknowledgement.
	inFlightPieces = 4
)

// InFlightBytes returns how many bytes one body may have on its way over the machine's link. It is
// part of the greetings.
func (t Timing) InFlightBytes() uint32 {
	if t.LinkMegabits <= 0 {
		return windowBytes
	}
	bytes := t.LinkMegabits * 1e6 / 8 * linkTime.Seconds()
	return uint32(min(max(bytes, minInFlight), windowBytes))
}

// boundInFlight applies the bound of the peer, in bytes. One of an earlier release sends none;
// it acknowledges too seldom for a bound.
func (s *session) boundInFlight(peerBound uint32) {
	if peerBound == 0 {
		return
	}
	s.inFlight = int(min(peerBound, s.timing.InFlightBytes()))
}

// pieceBytes is the largest piece of a body in one frame.
func (s *session) pieceBytes() int { return min(chunkBytes, s.inFlight/inFlightPieces) }

// acknowledgeAfter is the number of bytes read after which the sender gets an acknowledgement.
func (s *session) acknowledgeAfter() int { return min(grantAfterBytes, s.inFlight/inFlightPieces) }
