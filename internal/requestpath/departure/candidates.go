package departure

import (
	"sync"
	"time"
)

// maxCandidates limits the number of recorded instances, so that invalid heartbeats cannot exhaust the
// memory. A machine has one instance, or a few while one replaces another.
const maxCandidates = 64

// Candidates records the heartbeats of instances that may have ended, because their departure could not be
// looked up or a later incarnation left. The zero value is ready to use.
type Candidates struct {
	mutex sync.Mutex
	first map[string]firstHeartbeat
}

// firstHeartbeat is the earliest recorded heartbeat of a candidate.
type firstHeartbeat struct {
	at       time.Time
	sequence uint64
}

// Record records a heartbeat and reports whether the heartbeats of its instance have continued for long
// enough to register the instance. The sequence must have increased since the first one, because a
// heartbeat may be delivered twice.
func (c *Candidates) Record(instance string, sequence uint64, now time.Time) (continued bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.prune(now)
	first, known := c.first[instance]
	if !known {
		if len(c.first) >= maxCandidates {
			return false
		}
		if c.first == nil {
			c.first = map[string]firstHeartbeat{}
		}
		c.first[instance] = firstHeartbeat{at: now, sequence: sequence}
		return false
	}
	return sequence > first.sequence && now.Sub(first.at) > continuationTime
}

// Forget removes an instance that has registered or left.
func (c *Candidates) Forget(instance string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.first, instance)
}

// prune removes the candidates that were recorded longer than TTL ago; the caller holds mutex.
func (c *Candidates) prune(now time.Time) {
	for instance, first := range c.first {
		if now.Sub(first.at) > TTL {
			delete(c.first, instance)
		}
	}
}
