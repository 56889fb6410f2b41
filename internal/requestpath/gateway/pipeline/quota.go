package pipeline

import "sync"

// Limits bound what one daemon holds for requests sent ahead.
type Limits struct {
	// RequestsPerConnection bounds the open requests of one connection; 1 serves
	// one after the other.
	RequestsPerConnection int
	// RequestsAhead bounds the requests of all connections that are open behind
	// another one.
	RequestsAhead int
	// BytesPerConnection and Bytes bound the answers that are at hand before
	// their turn, of one connection and of all.
	BytesPerConnection int64
	Bytes              int64
}

// DefaultLimits hold where nothing else is set.
var DefaultLimits = Limits{
	RequestsPerConnection: 16,
	RequestsAhead:         2048,
	BytesPerConnection:    256 << 10,
	Bytes:                 16 << 20,
}

// quota counts what all connections hold together.
type quota struct {
	// mutex protects everything below.
	mutex    sync.Mutex
	limits   Limits
	requests int
	bytes    int64
	// waiting are the connections that wait for a request to end, oldest first.
	waiting []*connection
}

// takeRequest counts a request sent ahead. Where there are too many it returns
// false, and conn is woken when one of them has ended.
func (q *quota) takeRequest(conn *connection) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.requests < q.limits.RequestsAhead {
		q.requests++
		return true
	}
	for _, waiter := range q.waiting {
		if waiter == conn {
			return false
		}
	}
	q.waiting = append(q.waiting, conn)
	return false
}

// endRequest ends the counting of a request sent ahead.
func (q *quota) endRequest() {
	q.mutex.Lock()
	q.requests--
	var next *connection
	if len(q.waiting) > 0 {
		next = q.waiting[0]
		q.waiting = q.waiting[1:]
	}
	q.mutex.Unlock()
	if next != nil {
		next.wake()
	}
}

// takeBytes counts the bytes of an answer before its turn; it returns false
// where there are too many.
func (q *quota) takeBytes(bytes int64) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes+bytes > q.limits.Bytes {
		return false
	}
	q.bytes += bytes
	return true
}

// endBytes ends the counting of bytes.
func (q *quota) endBytes(bytes int64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bytes -= bytes
}

// forget removes a connection that ended.
func (q *quota) forget(conn *connection) {
	q.mutex.Lock()
	var next *connection
	for index, waiter := range q.waiting {
		if waiter == conn {
			q.waiting = append(q.waiting[:index], q.waiting[index+1:]...)
			break
		}
	}
	// The place that woke this connection may be free for another one.
	if len(q.waiting) > 0 && q.requests < q.limits.RequestsAhead {
		next = q.waiting[0]
		q.waiting = q.waiting[1:]
	}
	q.mutex.Unlock()
	if next != nil {
		next.wake()
	}
}
