package origin

import (
	"container/list"
	"sync"
	"time"
)

// Bounds of what is remembered about calls.
const (
	// attemptMemory is how long an attempt id is remembered. It must be longer than any time
	// in which an attempt may start, or a copy that was held up would run again.
	attemptMemory = 2 * time.Minute
	// keyMemory is how long a caller's own idempotency key is remembered.
	keyMemory = 10 * time.Minute
	// maxRemembered bounds the entries of each cache; the oldest are dropped first. It must be
	// above the calls that come within attemptMemory, or an attempt may start twice.
	maxRemembered = 200_000
)

// dedupCache remembers identifiers for a time, so that nothing runs twice. It is safe for
// concurrent use.
type dedupCache struct {
	lifetime time.Duration
	now      func() time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	entries map[string]*list.Element
	// order lists the entries by their expiry.
	order *list.List
}

// dedupEntry is one identifier.
type dedupEntry struct {
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

func newDedupCache(lifetime time.Duration, now func() time.Time) *dedupCache {
	return &dedupCache{lifetime: lifetime, now: now, entries: map[string]*list.Element{}, order: list.New()}
}

// Claim remembers id as state unless it is known; then it returns what is known.
func (c *dedupCache) Claim(id string, state attemptState) (previous attemptState, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.expire(now)
	if element, ok := c.entries[id]; ok {
		return element.Value.(*dedupEntry).state, true
	}
	entry := &dedupEntry{id: id, state: state, expires: now.Add(c.lifetime)}
	c.entries[id] = c.order.PushBack(entry)
	return 0, false
}

// Start moves a waiting id to started; it reports false for any other.
func (c *dedupCache) Start(id string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element, ok := c.entries[id]
	if !ok || element.Value.(*dedupEntry).state != attemptWaiting {
		return false
	}
	element.Value.(*dedupEntry).state = attemptStarted
	return true
}

// Fence makes sure that id is not started from now on; it reports whether it was started before.
func (c *dedupCache) Fence(id string) (started bool) {
	if state, known := c.Claim(id, attemptRefused); !known || state == attemptRefused {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element, ok := c.entries[id]
	if !ok {
		// Forgotten meanwhile: nothing can be proved, so it counts as started.
		return true
	}
	entry := element.Value.(*dedupEntry)
	if entry.state == attemptWaiting {
		entry.state = attemptRefused
	}
	return entry.state == attemptStarted
}

func (c *dedupCache) Forget(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if element, ok := c.entries[id]; ok {
		c.order.Remove(element)
		delete(c.entries, id)
	}
}

// expire drops what is old or too much; the caller holds mutex.
func (c *dedupCache) expire(now time.Time) {
	for element := c.order.Front(); element != nil; element = c.order.Front() {
		entry := element.Value.(*dedupEntry)
		if now.Before(entry.expires) && c.order.Len() < maxRemembered {
			return
		}
		c.order.Remove(element)
		delete(c.entries, entry.id)
	}
}
