package origin

import (
	"container/list"
	"sync"
	"time"
)

// Limits of the deduplication.
const (
	// attemptTTL is how long an attempt ID is remembered. It must exceed the time within which an
	// attempt may start, or a delayed copy would run again.
	attemptTTL = 2 * time.Minute
	// idempotencyKeyTTL is how long a caller's idempotency key is remembered. It must be above
	// attemptTTL.
	idempotencyKeyTTL = 10 * time.Minute
	// maxDedupEntries limits the entries of each cache; the oldest are evicted first. It must
	// exceed the number of calls that arrive within attemptTTL, or an attempt could start twice.
	maxDedupEntries = 200_000
)

// dedupCache remembers identifiers for a limited time, so that no attempt or request runs twice. It
// is safe for concurrent use.
type dedupCache struct {
	ttl time.Duration
	now func() time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	entries map[string]*list.Element
	// byExpiry lists the entries in the order of their expiry.
	byExpiry *list.List
}

// dedupEntry is the entry of one identifier.
type dedupEntry struct {
	id        string
	state     attemptState
	expiresAt time.Time
}

// attemptState is the known state of an attempt.
type attemptState int

const (
	// attemptWaiting: received and not sent to the instance yet.
	attemptWaiting attemptState = iota
	// attemptFenced: fenced before its start; it must not start.
	attemptFenced
	// attemptStarted: sent, or about to be sent, to the instance.
	attemptStarted
)

func newDedupCache(ttl time.Duration, now func() time.Time) *dedupCache {
	return &dedupCache{ttl: ttl, now: now, entries: map[string]*list.Element{}, byExpiry: list.New()}
}

// Claim records id with the given state unless it is known; for a known id it returns that state.
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

// Start changes a waiting id to started; it reports false for any other id.
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

// Fence makes sure that id does not start from now on; it reports whether it started before.
func (c *dedupCache) Fence(id string) (started bool) {
	if state, known := c.Claim(id, attemptFenced); !known || state == attemptFenced {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	element, ok := c.entries[id]
	if !ok {
		// The entry has expired in the meantime. It counts as started, because nothing proves the
		// opposite.
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

// evict removes expired entries, and the oldest ones if there are too many; the caller holds mutex.
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
