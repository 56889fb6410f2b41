package pipeline

import (
	"slices"
	"sync"
)

// Limits bound the resources that one daemon holds for pipelined requests. At a limit the daemon
// stops reading from the connections concerned, which applies backpressure to their callers without
// losing requests.
type Limits struct {
	// RequestsPerConnection is the maximum number of open requests of one connection; 1 disables
	// concurrent handling.
	RequestsPerConnection int
	// PipelinedRequests is the maximum number of requests of all connections that are open behind
	// another request of their connection.
	PipelinedRequests int
	// BytesPerConnection and TotalBytes are the maximum total sizes in bytes of answers that are
	// buffered until earlier ones are written, for one connection and for all connections.
	BytesPerConnection int64
	TotalBytes         int64
}

// DefaultLimits are the limits used if the settings state none. Each limit for all connections must
// exceed that for one connection, and BytesPerConnection must not be below the longest answer that the
// gateway buffers.
var DefaultLimits = Limits{
	RequestsPerConnection: 16,
	PipelinedRequests:     2048,
	BytesPerConnection:    256 << 10,
	TotalBytes:            16 << 20,
}

// quota counts the resources that all connections hold together. It is safe for concurrent use.
type quota struct {
	// mutex protects everything below.
	mutex  sync.Mutex
	limits Limits
	// openAhead is the number of requests that count towards Limits.PipelinedRequests, and
	// reservedBytes the total size of buffered answers that counts towards Limits.TotalBytes.
	openAhead     int
	reservedBytes int64
	// waiting holds the connections that wait for the end of a pipelined request, oldest first.
	waiting []*connection
}

// acquireRequest acquires a slot for a pipelined request. If none is free it returns false, and conn
// is woken when one becomes free.
func (q *quota) acquireRequest(conn *connection) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.openAhead < q.limits.PipelinedRequests {
		q.openAhead++
		// The connection may still be queued if another event woke it. If it stayed in the queue, it
		// would be woken in place of a connection that still waits.
		q.waiting = slices.DeleteFunc(q.waiting, func(waiting *connection) bool { return waiting == conn })
		return true
	}
	if !slices.Contains(q.waiting, conn) {
		q.waiting = append(q.waiting, conn)
	}
	return false
}

// releaseRequest frees the slot of a pipelined request and wakes the connection that has waited
// longest.
func (q *quota) releaseRequest() {
	q.mutex.Lock()
	q.openAhead--
	q.wakeNextAndUnlock()
}

// wakeNextAndUnlock wakes the connection that has waited longest. The caller holds mutex, which is
// unlocked before the wake-up.
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

// reserveBytes reserves memory for a buffered answer; it returns false if Limits.TotalBytes would be
// exceeded.
func (q *quota) reserveBytes(bytes int64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.reservedBytes+bytes > q.limits.TotalBytes {
		return false
	}
	q.reservedBytes += bytes
	return true
}

// releaseBytes releases memory that reserveBytes reserved.
func (q *quota) releaseBytes(bytes int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.reservedBytes -= bytes
}

// remove removes a connection that has ended from the queue.
func (q *quota) remove(conn *connection) {
	q.mutex.Lock()
	q.waiting = slices.DeleteFunc(q.waiting, func(waiter *connection) bool { return waiter == conn })
	if q.openAhead >= q.limits.PipelinedRequests {
		q.mutex.Unlock()
		return
	}
	// The slot for which this connection was woken may still be free.
	q.wakeNextAndUnlock()
}
