package origin

import (
	"container/list"
	"sync"
	"time"
)

// Bounds of what is remembered about calls.
const (
	// attemptMemory is how long an attempt id is remembered. It is longer than
	// any time in which an attempt may start.
	attemptMemory = 2 * time.Minute
	// keyMemory is how long a caller's own idempotency key is remembered.
	keyMemory = 10 * time.Minute
	// maxRemembered bounds each memory; the oldest entries are dropped first.
	maxRemembered = 200_000
)

// memory remembers identifiers for a time. It is safe for concurrent use.
type memory struct {
	lifetime time.Duration
	now      func() time.Time

	mutex   sync.Mutex
	entries map[string]*list.Element
	order   *list.List
}

// remembered is one identifier; value tells what is known of it.
type remembered struct {
	id      string
	state   attemptState
	expires time.Time
}

// attemptState is what is known of an attempt.
type attemptState int

const (
	// attemptWaiting was received and not yet handed over.
	attemptWaiting attemptState = iota
	// attemptRefused must not be started any more.
	attemptRefused
	// attemptStarted was or is about to be handed to the back end.
	attemptStarted
)

func newMemory(lifetime time.Duration, now func() time.Time) *memory {
	return &memory{lifetime: lifetime, now: now, entries: map[string]*list.Element{}, order: list.New()}
}

// Claim remembers id as state unless it is known. It returns the state known
// before, and known true, when there is one.
func (m *memory) Claim(id string, state attemptState) (previous attemptState, known bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	m.expire(now)
	if element, ok := m.entries[id]; ok {
		return element.Value.(*remembered).state, true
	}
	entry := &remembered{id: id, state: state, expires: now.Add(m.lifetime)}
	m.entries[id] = m.order.PushBack(entry)
	return 0, false
}

// Start moves a waiting id to started; it reports false for any other.
func (m *memory) Start(id string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	element, ok := m.entries[id]
	if !ok || element.Value.(*remembered).state != attemptWaiting {
		return false
	}
	element.Value.(*remembered).state = attemptStarted
	return true
}

// Fence makes sure that id is not started from now on; it reports whether it
// was started before.
func (m *memory) Fence(id string) (started bool) {
	if state, known := m.Claim(id, attemptRefused); !known || state == attemptRefused {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	element, ok := m.entries[id]
	if !ok {
		// Dropped in between: nothing can be proved, so it counts as started.
		return true
	}
	entry := element.Value.(*remembered)
	if entry.state == attemptWaiting {
		entry.state = attemptRefused
	}
	return entry.state == attemptStarted
}

// Forget drops id.
func (m *memory) Forget(id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if element, ok := m.entries[id]; ok {
		m.order.Remove(element)
		delete(m.entries, id)
	}
}

// expire drops what is old or too much; the caller holds mutex.
func (m *memory) expire(now time.Time) {
	for element := m.order.Front(); element != nil; element = m.order.Front() {
		entry := element.Value.(*remembered)
		if now.Before(entry.expires) && m.order.Len() < maxRemembered {
			return
		}
		m.order.Remove(element)
		delete(m.entries, entry.id)
	}
}
