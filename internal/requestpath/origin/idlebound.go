package origin

import (
	"sync"
	"time"
)

// Constants of what is learned about resting connections. Both are chosen, not measured.
const (
	// forgottenWithin is the time after a request was sent in which a broken
	// connection counts as one that the back end had given up while it rested. It must be
	// above a round trip on the machine and below the usual service time, or calls that the
	// back end broke off itself are counted.
	forgottenWithin = 20 * time.Millisecond
	// idleMemory is how long a lowered bound holds. It must be above backendIdleTimeout, or a
	// connection outlives what was learned.
	idleMemory = 10 * time.Second
)

// idleBound learns how long a back end's connections may rest. A back end may
// give one up without closing it, and a request that is then sent over it is lost
// without proof that it did not run. It is safe for concurrent use.
type idleBound struct {
	// mutex protects everything below.
	mutex sync.Mutex
	limit time.Duration
	until time.Time
}

// noteForgotten records that a connection was given up while it rested for so long.
// Half of that is allowed from now on, or less where less was learned before.
func (b *idleBound) noteForgotten(rested time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := rested / 2
	if now.Before(b.until) {
		limit = min(limit, b.limit)
	}
	b.limit = limit
	b.until = now.Add(idleMemory)
}

// allows reports whether a connection that rested for so long, and that the back
// end said it keeps for keepFor, may be used.
func (b *idleBound) allows(rested, keepFor time.Duration, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Before(b.until) {
		keepFor = min(keepFor, b.limit)
	}
	return rested < keepFor
}
