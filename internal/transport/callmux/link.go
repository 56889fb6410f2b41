package callmux

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Link is a handle to a session between two daemons, for sending frames that belong to no call. Its
// methods are safe for concurrent use.
type Link struct{ session *session }

// Send writes the frames contiguously and blocks until they are written, for at most
// Timing.WriteTimeout. An error ends the session.
func (l Link) Send(frames ...proto.Message) error { return l.session.send(frames...) }

// ActiveCalls returns the number of calls in flight on the session.
func (l Link) ActiveCalls() int { return l.session.active() }

// Closed returns a channel that is closed when the session ends.
func (l Link) Closed() <-chan struct{} { return l.session.closed }

// IsClosed reports whether the session has ended.
func (l Link) IsClosed() bool { return l.session.isClosed() }

// Welcome returns the greeting of the dialed daemon, or nil on the accepting side.
func (l Link) Welcome() *lapisv1.Welcome { return l.session.welcome }

// PeerRevision returns the configuration revision that the peer stated last to have in force, 0 if it has none.
func (l Link) PeerRevision() uint64 { return l.session.echoes.peerRevision() }

// Close ends the session and its calls, which fail with cause.
func (l Link) Close(cause error) { l.session.close(cause) }

// RequestHeartbeat sends a heartbeat before the next interval if this daemon has a newer revision than
// the peer, or a confirmation that is newer by more than gain. It does not block.
func (l Link) RequestHeartbeat(gain time.Duration) {
	select {
	case l.session.early <- gain:
	default:
	}
}

// Control holds the callbacks for frames of a session that belong to no call. Either may be nil.
// They are called sequentially by the goroutine that reads the session and must not block.
type Control struct {
	// Frame is called with each frame that has a body.
	Frame func(*lapisv1.CallFrame)
	// Heartbeat is called with each heartbeat.
	Heartbeat func(Heartbeat)
}
