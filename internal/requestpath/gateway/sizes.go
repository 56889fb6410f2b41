package gateway

import "sync"

const (
	// sizeSmoothingFactor is the weight, 0 to 1, of a new answer in the moving average of its route's
	// answer sizes.
	sizeSmoothingFactor = 0.1
	// maxSizedRoutes is the number of routes whose sizes are stored. When it is reached, all sizes are
	// discarded and learned again. It must exceed the number of routes of a configuration.
	maxSizedRoutes = 4096
)

// answerSizes holds the mean answer size of each route, which is used for the cost of calls to other
// zones. It is safe for concurrent use.
type answerSizes struct {
	// mutex protects means, which are in bytes.
	mutex sync.Mutex
	means map[string]float64
}

// record records the length of an answer in bytes; a negative length means that it is unknown.
func (s *answerSizes) record(route string, length int64) {
	if length < 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.means == nil || len(s.means) >= maxSizedRoutes {
		s.means = map[string]float64{}
	}
	known, ok := s.means[route]
	if !ok {
		known = float64(length)
	}
	s.means[route] = known + sizeSmoothingFactor*(float64(length)-known)
}

// expectedBytes returns the expected total size of a call's body and its answer, in bytes.
func (s *answerSizes) expectedBytes(route string, body *requestBody) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.means[route] + float64(max(body.length, 0))
}
