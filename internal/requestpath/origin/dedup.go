package origin

import (
	"container/list"
	"sync"
	"time"
)

// Bounds of what is remembered about calls.
const (
	// attemptTTL is how long an attempt id is remembered. It must be longer than any time
	// in which an attempt may start, or a copy that was held up would run again.
	attemptTTL = 2 * time.Minute
	// idempotencyKeyTTL is how long a caller's own idempotency key is remembered.
	idempotencyKeyTTL = 10 * time.Minute
	// maxDedupEntries bounds the entries of each cache; the oldest are dropped first. It must be
	// above the calls that come within attemptMemory, or an attempt may start twice.
	maxDedupEntries = 200_000
)

// dedupCache remembers identifiers for a time, so that nothing runs twice. It is safe for
// concurrent use.
type dedupCache struct {
	ttl time.Duration
	now func() time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	entries map[string]*list.Element
	// byExpiry lists the entries by their expiry.
	byExpiry *list.List
}

// dedupEntry is one identifier.
type dedupEntry struct {
	id        string
	state     attemptState
	expiresAt time.Time
}

// attemptState is what is known of an attempt.
type attemptState int

const (
	// attemptWaiting was received and not yet handed over.
	attemptWaiting attemptState = iota
	// attemptFenced must not be started any more.
	attemptFenced
	// attemptStarted was or is about to be handed to the back end.
	attemptStarted
)

func newDedupCache(ttl time.Duration, now func() time.Time) *dedupCache {
	return &dedupCache{ttl: ttl, now: now, entries: map[string]*list.Element{}, byExpiry: list.New()}
}

// Claim remembers id as state unless it is known; then it returns what is known.
func (c *dedupCache) Claim(id string, state attemptState) (previous attemptState, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.now()
	c.evict(now)
	if element, ok := c.entries[id]; ok {
		return element.Value.(*dedupEntry).state, true
	}
	entry := &dedupEntry{id: id, state: state, expiresAt: now.Add(c.ttl)}
	c.entries[id] = c.byExpiry.PushBack(entry)
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
	if state, known := c.Claim(id, attemptFenced); !known || state == attemptFenced {
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
		entry.state = attemptFenced
	}
	return entry.state == attemptStarted
}

func (c *dedupCache) Forget(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if element, ok := c.entries[id]; ok {
		c.byExpiry.Remove(element)
		delete(c.entries, id)
	}
}

// evict drops what is old or too much; the caller holds mutex.
func (c *dedupCache) evict(now time.Time) {
	for element := c.byExpiry.Front(); element != nil; element = c.byExpiry.Front() {
		entry := element.Value.(*dedupEntry)
		if now.Before(entry.expiresAt) && c.byExpiry.Len() < maxDedupEntries {
			return
		}
		c.byExpiry.Remove(element)
		delete(c.entries, entry.id)
	}
}
