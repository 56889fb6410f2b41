package callmux

import (
	"sync"
	"sync/atomic"
	"time"
)

// deliveryTime is how long the acknowledgement of an answer by the peer's system is waited for. A
// peer that takes longer counts as stalled by then.
const deliveryTime = time.Second

// delivery knows the calls of a Server that are not answered whole, and its sessions. It is safe
// for concurrent use; the zero value is ready.
type delivery struct {
	calls atomic.Int64

	// mutex protects answered: the sessions, with the time of their newest answer, zero before
	// the first.
	mutex    sync.Mutex
	answered map[*session]time.Time
}

func (d *delivery) add(opened *session) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.answered == nil {
		d.answered = map[*session]time.Time{}
	}
	d.answered[opened] = time.Time{}
}

func (d *delivery) remove(closed *session) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.answered, closed)
}

// begin counts a call that was read.
func (d *delivery) begin() { d.calls.Add(1) }

// end ends the count of a call whose answer was written on a session, or given up.
func (d *delivery) end(over *session) {
	d.mutex.Lock()
	if _, open := d.answered[over]; open {
		d.answered[over] = time.Now()
	}
	d.mutex.Unlock()
	d.calls.Add(-1)
}

func (d *delivery) undelivered(now time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := int(d.calls.Load())
	for session, answeredAt := range d.answered {
		if now.Sub(answeredAt) < deliveryTime && session.conn.Unacknowledged() > 0 {
			count++
		}
	}
	return count
}
