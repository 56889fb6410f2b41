package callmux

import "time"

// A long body must not delay short calls behind it on a slow link: at 5 Mbit/s a body of 60 kB
// occupies the link for 0.1 s. The unacknowledged bytes of a body are therefore limited to the amount
// that the slower of both machines' links carries in maxLinkOccupancy, even if the window is larger.

const (
	// maxLinkOccupancy is the transmission time of the unacknowledged bytes of one body on the link.
	maxLinkOccupancy = 25 * time.Millisecond
	// minInFlightBytes is the lower limit of InFlightBytes. It keeps throughput up on links with high
	// latency.
	minInFlightBytes = 8 << 10
	// inFlightChunks is the number of chunks in which the bytes in flight are sent and acknowledged. It
	// is above 1, otherwise the sender would wait for each acknowledgement.
	inFlightChunks = 4
)

// InFlightBytes returns the maximum number of unacknowledged bytes of one body on this machine's
// link. Daemons exchange it in their greetings.
func (t Timing) InFlightBytes() uint32 {
	if t.LinkMegabits <= 0 {
		return windowBytes
	}
	bytes := t.LinkMegabits * 1e6 / 8 * maxLinkOccupancy.Seconds()
	return uint32(min(max(bytes, minInFlightBytes), windowBytes))
}

// boundInFlight applies the limit from the peer's greeting, in bytes. Earlier releases send no limit
// (0) and acknowledge too rarely for one.
func (s *session) boundInFlight(peerBound uint32) {
	if peerBound == 0 {
		return
	}
	s.maxInFlight = int(min(peerBound, s.timing.InFlightBytes()))
}

// chunkBytes returns the maximum size of the body data in one frame.
func (s *session) chunkBytes() int { return min(maxChunkBytes, s.maxInFlight/inFlightChunks) }

// ackThreshold returns the number of bytes read after which a grant acknowledges them.
func (s *session) ackThreshold() int { return min(grantThresholdBytes, s.maxInFlight/inFlightChunks) }
