package callmux

import (
	"sync"
	"sync/atomic"
	"time"
)

// deliveryTimeout is how long a written answer counts as undelivered while the peer's kernel has not
// acknowledged it. A peer that takes longer is considered stalled by then.
const deliveryTimeout = time.Second

// delivery tracks the sessions of a Server and its calls whose answers are not completely written. It
// is safe for concurrent use; the zero value is ready to use.
type delivery struct {
	calls atomic.Int64

	// mutex protects answered, which maps each open session to the time of its newest answer, or to
	// zero before the first answer.
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

// begin counts a received call as unanswered.
func (d *delivery) begin() { d.calls.Add(1) }

// end stops counting a call whose answer was written to the session or abandoned.
func (d *delivery) end(answering *session) {
	d.mutex.Lock()
	if _, open := d.answered[answering]; open {
		d.answered[answering] = time.Now()
	}
	d.mutex.Unlock()
	d.calls.Add(-1)
}

func (d *delivery) undelivered(now time.Time) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := int(d.calls.Load())
	for session, answeredAt := range d.answered {
		if now.Sub(answeredAt) < deliveryTimeout && session.conn.Unacknowledged() > 0 {
			count++
		}
	}
	return count
}
