package callmux

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Link is a session between two daemons, for frames that carry no call. Its methods are safe
// for concurrent use.
type Link struct{ session *session }

// Send sends frames in one piece and waits until they are written, at most Timing.Write. An error
// means that the session is over.
func (l Link) Send(frames ...proto.Message) error { return l.session.send(frames...) }

// Active returns the number of calls on their way.
func (l Link) Active() int { return l.session.active() }

// Closed is closed at the end of the session.
func (l Link) Closed() <-chan struct{} { return l.session.closed }

// Welcome is the greeting of the daemon that was dialed, nil on the accepting side.
func (l Link) Welcome() *lapisv1.Welcome { return l.session.welcome }

// Close ends the session and the calls on it; cause is what they report.
func (l Link) Close(cause error) { l.session.close(cause) }

// HeartbeatEarly sends a heartbeat ahead of its time where the peer lacks a newer revision, or a
// confirmation that is newer by more than gain. It does not wait.
func (l Link) HeartbeatEarly(gain time.Duration) {
	select {
	case l.session.early <- gain:
	default:
	}
}

// Control receives the frames of a session that belong to no call. Its functions may be nil; they
// are called by the goroutine that reads the session, one frame after the other, and must not block.
type Control struct {
	// Frame receives the frames that are not empty.
	Frame func(*lapisv1.CallFrame)
	// Heartbeat receives the heartbeats.
	Heartbeat func(Heartbeat)
}
