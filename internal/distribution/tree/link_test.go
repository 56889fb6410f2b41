package tree

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// linkedPair returns both ends of an in-memory connection.
func linkedPair() (own, peer *wire.Conn) {
	ownRaw, peerRaw := net.Pipe()
	return wire.NewConn(ownRaw, &wire.Counters{}), wire.NewConn(peerRaw, &wire.Counters{})
}

func heartbeatOnly() []proto.Message {
	return []proto.Message{heartbeatFrame(&lapisv1.Heartbeat{})}
}

// exchangeUntilEnd runs a link whose sender calls next every second and at each signal, and returns
// how long the link lasted and why it ended.
func exchangeUntilEnd(conn *wire.Conn, link peerLink, next func(sendEvent) outgoing) (time.Duration, error) {
	node := &Node{config: Config{Tunables: tunables.Convergence()}}
	started := time.Now()
	err := node.exchange(context.Background(), link, conn, linkProtocol{
		interval: time.Second, next: next,
		handle: func(*lapisv1.ControlFrame) error { return nil },
	})
	return time.Since(started), err
}

func TestSilentLinkIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := linkedPair()
		_, link := newPeerLink(context.Background())
		go func() {
			time.Sleep(2 * time.Second)
			assert.Check(t, peer.SendAll(heartbeatOnly()...))
		}()
		lasted, err := exchangeUntilEnd(own, link, func(sendEvent) outgoing { return outgoing{} })
		assert.Assert(t, result.Is(err, result.ProtocolTimeout), "%v", err)
		assert.Equal(t, lasted, 2*time.Second+tunables.Convergence().LinkIdleTimeout.Get())
		closeConn(own)
		closeConn(peer)
	})
}

// A tick is idle when nothing was sent since the previous tick; a signal does not count as a tick.
func TestSenderIsAskedAtSignalsAndTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := linkedPair()
		_, link := newPeerLink(context.Background())
		go func() {
			for peer.Receive(&lapisv1.ControlFrame{}) == nil {
			}
		}()
		time.AfterFunc(1500*time.Millisecond, link.signal)
		time.AfterFunc(2500*time.Millisecond, func() { assert.Check(t, peer.SendAll(heartbeatOnly()...)) })
		var asked []sendEvent
		_, err := exchangeUntilEnd(own, link, func(event sendEvent) outgoing {
			asked = append(asked, event)
			switch len(asked) {
			case 2:
				return outgoing{frames: heartbeatOnly()}
			case 4:
				return outgoing{frames: heartbeatOnly(), delay: 100 * time.Millisecond, closeAfter: true}
			default:
				return outgoing{}
			}
		})
		assert.Assert(t, err != nil, "the last frame ends the link")
		expected := []sendEvent{
			{tick: true, idle: true, sinceLastSend: time.Second},
			{sinceLastSend: 1500 * time.Millisecond},
			{tick: true, idle: false, sinceLastSend: 500 * time.Millisecond},
			{tick: true, idle: true, sinceLastSend: 1500 * time.Millisecond},
		}
		assert.Assert(t, slices.Equal(asked, expected), "%v", asked)
		closeConn(peer)
	})
}

func TestWriteThatHangsEndsTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, peer := linkedPair()
		_, link := newPeerLink(context.Background())
		stop := make(chan struct{})
		go func() {
			// The peer sends but never reads.
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					if peer.SendAll(heartbeatOnly()...) != nil {
						return
					}
				}
			}
		}()
		lasted, err := exchangeUntilEnd(own, link, func(sendEvent) outgoing { return outgoing{frames: heartbeatOnly()} })
		close(stop)
		assert.Assert(t, result.Is(err, result.ProtocolTimeout), "%v", err)
		assert.Equal(t, lasted, time.Second+sendTimeout)
		closeConn(own)
		closeConn(peer)
	})
}
