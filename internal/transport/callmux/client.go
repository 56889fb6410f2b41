package callmux

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Client sends calls to other daemons, over one connection per daemon. It is safe for concurrent
// use.
type Client struct {
	// Hello is the greeting that this daemon sends; the client does not modify it.
	Hello    *lapisv1.Hello
	Network  wire.Network
	Counters *wire.Counters
	// Timing applies to all sessions; the zero value means DefaultTiming.
	Timing Timing
	// Maintained is true if sessions are opened only by Connect, so that calls never dial.
	Maintained bool

	// mutex protects peers.
	mutex sync.Mutex
	peers map[string]*peerLink
}

// peerLink holds the session to one daemon, or the error of the last failed dial.
type peerLink struct {
	// mutex protects the fields below. It is held while dialing, so that concurrent calls to one
	// daemon share a single dial.
	mutex   sync.Mutex
	session *session
	// failedAt is the time of the last failed dial, and failure its error.
	failedAt time.Time
	failure  error
	lastUsed time.Time
}

// link returns the peerLink of address and creates it if needed.
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

// CloseIdle closes connections that no call has used since before, and drops dial errors of the same
// age. It does nothing for a Maintained client.
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

// Close closes all connections. Calls in flight fail with CallUnknownOutcome.
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

// sessionTo returns the open session to address. If there is none it dials, unless the client is
// Maintained. Errors: CallNotRunUnreachable.
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
	if now.Sub(link.failedAt) < dialFailureTTL {
		return nil, link.failure
	}
	opened, err := c.open(ctx, "", address, nil)
	if err != nil {
		link.failedAt = now
		link.failure = err
		return nil, err
	}
	link.session = opened
	return opened, nil
}
