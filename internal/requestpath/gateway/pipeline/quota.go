package pipeline

import (
	"slices"
	"sync"
)

// Limits bound what one daemon holds for requests sent ahead. At a limit connections are not
// read on, so that their callers are slowed down and nothing is lost.
type Limits struct {
	// RequestsPerConnection bounds the open requests of one connection; 1 serves
	// one after the other.
	RequestsPerConnection int
	// RequestsAhead bounds the requests of all connections that are open behind
	// another one.
	RequestsAhead int
	// BytesPerConnection and Bytes bound the answers that wait for earlier ones in bytes, of
	// one connection and of all.
	BytesPerConnection int64
	Bytes              int64
}

// DefaultLimits hold where the settings state none. Each limit of all connections is above that of
// one, and one connection may hold the longest answer that the gateway reads whole.
var DefaultLimits = Limits{
	RequestsPerConnection: 16,
	RequestsAhead:         2048,
	BytesPerConnection:    256 << 10,
	Bytes:                 16 << 20,
}

// quota counts what all connections hold together. It is safe for concurrent use.
type quota struct {
	// mutex protects everything below.
	mutex    sync.Mutex
	limits   Limits
	requests int
	bytes    int64
	// waiting are the connections that wait for a request to end, oldest first.
	waiting []*connection
}

// acquireRequest takes a place for a request sent ahead. Where there is none it returns false,
// and conn is woken when one becomes free.
func (q *quota) acquireRequest(conn *connection) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.requests < q.limits.RequestsAhead {
		q.requests++
		// It may be in the queue yet, woken by something else. Left there, it would be woken
		// in place of a connection that still waits.
		q.waiting = slices.DeleteFunc(q.waiting, func(waiting *connection) bool { return waiting == conn })
		return true
	}
	if !slices.Contains(q.waiting, conn) {
		q.waiting = append(q.waiting, conn)
	}
	return false
}

// releaseRequest frees the place of a request sent ahead and wakes who waits longest.
func (q *quota) releaseRequest() {
	q.mutex.Lock()
	q.requests--
	q.wakeNextAndUnlock()
}

// wakeNextAndUnlock wakes the connection that waits longest. The caller holds mutex, which is
// unlocked before.
func (q *quota) wakeNextAndUnlock() {
	if len(q.waiting) == 0 {
		q.mutex.Unlock()
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	q.mutex.Unlock()
	next.wake()
}

// acquireBytes counts the bytes of an answer that waits for earlier ones; it returns false
// where there are too many.
func (q *quota) acquireBytes(bytes int64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes+bytes > q.limits.Bytes {
		return false
	}
	q.bytes += bytes
	return true
}

// releaseBytes ends the count of bytes that were acquired.
func (q *quota) releaseBytes(bytes int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bytes -= bytes
}

// forget removes a connection that ended.
func (q *quota) forget(conn *connection) {
	q.mutex.Lock()
	q.waiting = slices.DeleteFunc(q.waiting, func(waiter *connection) bool { return waiter == conn })
	if q.requests >= q.limits.RequestsAhead {
		q.mutex.Unlock()
		return
	}
	// The place that woke this connection may still be free.
	q.wakeNextAndUnlock()
}
