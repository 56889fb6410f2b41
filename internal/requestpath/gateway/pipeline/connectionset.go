package pipeline

import (
	"slices"
	"sync"
	"time"
)

// connectionSet holds the connections that are being served. It is safe for concurrent use; the
// zero value is empty and has no limit.
type connectionSet struct {
	// limit is the maximum number of connections, 0 for no limit. onLimit, if not nil, is called for each
	// connection that is closed because of it.
	limit   int
	onLimit func()
	// mutex protects everything below.
	mutex  sync.Mutex
	active map[*connection]bool
	// closed is true after closeAll; no connection is added after that.
	closed bool
}

// add adds a connection and returns true. It adds nothing and returns false after closeAll, and at the
// limit if no connection is idle.
func (c *connectionSet) add(conn *connection) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed || !c.makeRoom() {
		return false
	}
	if c.active == nil {
		c.active = map[*connection]bool{}
	}
	c.active[conn] = true
	return true
}

// evictedPart is the part of a full set that is closed at once if so many connections are idle, as a
// divisor. The search for them inspects all connections, which is too much for each new one.
const evictedPart = 16

// makeRoom closes idle connections if the limit is reached. It returns false if none is idle. The caller
// holds mutex.
func (c *connectionSet) makeRoom() bool {
	if c.limit == 0 || len(c.active) < c.limit {
		return true
	}
	idle := c.idleConnections()
	for _, candidate := range idle[:min(len(idle), 1+c.limit/evictedPart)] {
		if candidate.connection.closeIdle() {
			delete(c.active, candidate.connection)
			c.reportLimit()
		}
	}
	if len(c.active) < c.limit {
		return true
	}
	c.reportLimit()
	return false
}

func (c *connectionSet) reportLimit() {
	if c.onLimit != nil {
		c.onLimit()
	}
}

// idleConnections returns the idle connections in the order in which they are closed: first those that
// never had a request, then the others, each by the time for which they have been idle. The caller holds
// mutex.
func (c *connectionSet) idleConnections() []idleConnection {
	var idle []idleConnection
	for connection := range c.active {
		if state, isIdle := connection.idleState(); isIdle {
			idle = append(idle, idleConnection{connection, state})
		}
	}
	slices.SortFunc(idle, func(first, second idleConnection) int { return first.state.compare(second.state) })
	return idle
}

// closeAll closes all connections and makes add reject new ones.
func (c *connectionSet) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for connection := range c.active {
		_ = connection.caller.Close() // Close fails only for a connection that is already closed.
	}
}

func (c *connectionSet) remove(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.active, conn)
}

// countUndelivered returns the number of connections with an answer that may not have arrived.
func (c *connectionSet) countUndelivered(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.active {
		if connection.hasUndelivered(now) {
			count++
		}
	}
	return count
}

// countReceiving returns the number of connections on which the caller is sending a request.
func (c *connectionSet) countReceiving(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.active {
		if connection.isReceiving(now) {
			count++
		}
	}
	return count
}

// idleConnection is a connection and its state when it was inspected.
type idleConnection struct {
	connection *connection
	state      idleState
}

// idleState describes an idle connection.
type idleState struct {
	// served is true if a request of the connection was answered.
	served bool
	// since is the time since which the connection has been idle.
	since time.Time
}

// compare returns a negative number if a connection in this state is closed before one in the other state.
func (s idleState) compare(other idleState) int {
	switch {
	case s.served == other.served:
		return s.since.Compare(other.since)
	case other.served:
		return -1
	default:
		return 1
	}
}
