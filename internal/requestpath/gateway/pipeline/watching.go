package pipeline

// hasRoom reports whether another request may be dispatched: always if none is open, otherwise within
// the limits of the connection and of the daemon. The caller holds mutex.
func (c *connection) hasRoom() bool {
	limits := &c.server.quota.limits
	if len(c.open) == 0 {
		return true
	}
	if len(c.open) >= limits.RequestsPerConnection || c.reservedBytes >= limits.BytesPerConnection {
		return false
	}
	c.nextSentAhead = c.server.quota.acquireRequest(c)
	return c.nextSentAhead
}

// watchUntil reads at most limit bytes ahead until condition returns true, to detect a disconnect of the
// caller. It calls condition with mutex held. It reports false if the caller disconnected.
func (c *connection) watchUntil(limit int, condition func() bool) bool {
	for {
		c.mutex.Lock()
		if c.disconnected {
			c.mutex.Unlock()
			return false
		}
		if condition() {
			c.mutex.Unlock()
			return true
		}
		c.watching = true
		c.caller.setReadTimeout(0)
		c.mutex.Unlock()
		full, err := c.caller.readAhead(limit)
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

// awaitWake waits for a wake-up without reading. It is used while the lookahead buffer is full.
func (c *connection) awaitWake() {
	select {
	case <-c.wakeUp:
	case <-c.ctx.Done():
	}
}

// wake makes a reader in watchUntil check its condition again.
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
	c.caller.interruptRead()
	select {
	case c.wakeUp <- struct{}{}:
	default:
	}
}
