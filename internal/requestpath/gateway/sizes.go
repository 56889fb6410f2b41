package gateway

import "sync"

const (
	// sizeSmoothing is the part that a new answer has in the mean size of its route's answers.
	sizeSmoothing = 0.1
	// maxSizes is the number of routes whose sizes are remembered; at it all are learned again.
	// Must exceed the routes of a configuration.
	maxSizes = 4096
)

// answerSizes remembers how long the answers of each route are, for the price of another zone. It
// is safe for concurrent use.
type answerSizes struct {
	// mutex protects means, in bytes.
	mutex sync.Mutex
	means map[string]float64
}

// answered records the length of an answer in bytes, negative when it is not known.
func (s *answerSizes) answered(route string, length int64) {
	if length < 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.means == nil || len(s.means) >= maxSizes {
		s.means = map[string]float64{}
	}
	known, ok := s.means[route]
	if !ok {
		known = float64(length)
	}
	s.means[route] = known + sizeSmoothing*(float64(length)-known)
}

// of returns the bytes that a call with body is expected to send and to bring.
func (s *answerSizes) of(route string, body *requestBody) float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.means[route] + float64(max(body.length, 0))
}
