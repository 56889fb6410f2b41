package callmux

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Client sends calls to other daemons over one connection to each. It is safe
// for concurrent use.
type Client struct {
	// Hello is this daemon's greeting; it is not changed.
	Hello    *lapisv1.Hello
	Network  wire.Network
	Counters *wire.Counters
	// Timing bounds the sessions, DefaultTiming where it is the zero value.
	Timing Timing
	// Maintained is true when Connect keeps the sessions; calls then never wait
	// for a dial.
	Maintained bool

	// mutex protects peers.
	mutex sync.Mutex
	peers map[string]*peerLink
}

// peerLink is the connection to one daemon, or the failure to open one.
type peerLink struct {
	// mutex protects the rest and is held while dialing, so that calls to one daemon share one
	// dial.
	mutex   sync.Mutex
	session *session
	// failedAt is when the last dial failed, with failure.
	failedAt time.Time
	failure  error
	lastUsed time.Time
}

// link returns the link to address, a new one where there is none.
func (c *Client) link(address string) *peerLink {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.peers == nil {
		c.peers = map[string]*peerLink{}
	}
	link, ok := c.peers[address]
	if !ok {
		link = &peerLink{}
		c.peers[address] = link
	}
	return link
}

// CloseIdle closes connections that no call has used since a time and forgets failed dials as old;
// those that Connect keeps stay.
func (c *Client) CloseIdle(before time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, link := range c.peers {
		link.mutex.Lock()
		unused := !c.Maintained && link.lastUsed.Before(before) && (link.session == nil || link.session.active() == 0)
		if unused {
			if link.session != nil {
				link.session.close(result.Errorf(result.ProtocolTimeout, "idle"))
			}
			delete(c.peers, address)
		}
		link.mutex.Unlock()
	}
}

// Close closes all connections; the calls on them end with unknown outcome.
func (c *Client) Close() {
	cause := result.Errorf(result.CallUnknownOutcome, "the daemon stopped")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, link := range c.peers {
		link.mutex.Lock()
		if link.session != nil {
			link.session.close(cause)
		}
		link.mutex.Unlock()
	}
}

// Links returns the number of open connections.
func (c *Client) Links() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	open := 0
	for _, link := range c.peers {
		link.mutex.Lock()
		if link.session != nil && !link.session.isClosed() {
			open++
		}
		link.mutex.Unlock()
	}
	return open
}

// sessionTo returns the session to address, and dials where there is none and sessions are not
// maintained. Errors: CallNotRunUnreachable.
func (c *Client) sessionTo(ctx context.Context, address string) (*session, error) {
	link := c.link(address)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	now := time.Now()
	link.lastUsed = now
	if link.session != nil && !link.session.isClosed() {
		return link.session, nil
	}
	if c.Maintained {
		return nil, result.Errorf(result.CallNotRunUnreachable, "there is no connection to %s", address)
	}
	if now.Sub(link.failedAt) < dialRetry {
		return nil, link.failure
	}
	opened, err := c.open(ctx, address, Control{})
	if err != nil {
		link.failedAt = now
		link.failure = err
		return nil, err
	}
	link.session = opened
	return opened, nil
}
