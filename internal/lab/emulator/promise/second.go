package promise

import "time"

// Second counts what came in the second up to the newest. It is not safe for
// concurrent use.
type Second struct{ times []time.Time }

// Add takes in one more and returns how many came in the second that ends with it.
func (s *Second) Add(at time.Time) int {
	s.times = append(s.times, at)
	return s.Count(at)
}

// Count returns how many came in the second that ends with at.
func (s *Second) Count(at time.Time) int {
	recent := 0
	for recent < len(s.times) && at.Sub(s.times[recent]) >= time.Second {
		recent++
	}
	s.times = s.times[recent:]
	return len(s.times)
}

// Oldest returns the first that Count last counted; there must be one.
func (s *Second) Oldest() time.Time { return s.times[0] }

// Reset forgets all.
func (s *Second) Reset() { s.times = nil }
