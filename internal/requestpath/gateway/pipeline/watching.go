package pipeline

// hasRoom reports whether another request may be passed on: always where none is open, else
// within the limits of the connection and of the daemon. The caller holds mutex.
func (c *connection) hasRoom() bool {
	limits := &c.server.quota.limits
	if len(c.open) == 0 {
		return true
	}
	if len(c.open) >= limits.RequestsPerConnection || c.bytes >= limits.BytesPerConnection {
		return false
	}
	c.nextSentAhead = c.server.quota.acquireRequest(c)
	return c.nextSentAhead
}

// watchUntil reads ahead, to see whether the caller disconnects, until enough returns true, which
// is called with mutex held. It reports false when the caller disconnected.
func (c *connection) watchUntil(enough func() bool) bool {
	for {
		c.mutex.Lock()
		if c.disconnected {
			c.mutex.Unlock()
			return false
		}
		if enough() {
			c.mutex.Unlock()
			return true
		}
		c.watching = true
		c.caller.bound(0)
		c.mutex.Unlock()
		full, err := c.caller.readAhead()
		if full {
			c.awaitWake()
		}
		c.mutex.Lock()
		c.watching = false
		if err != nil {
			c.disconnectLocked()
		}
		c.mutex.Unlock()
	}
}

// awaitWake waits for a wake-up without reading, as maxLookahead bytes are held.
func (c *connection) awaitWake() {
	select {
	case <-c.wakeUp:
	case <-c.ctx.Done():
	}
}

// wake makes a reader that watches check again whether it may go on.
func (c *connection) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wakeLocked()
}

// wakeLocked is wake for a caller that holds mutex.
func (c *connection) wakeLocked() {
	if !c.watching {
		return
	}
	c.caller.interrupt()
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}
