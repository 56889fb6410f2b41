package gateway

import "sync"

// Tunables of the expected sizes.
const (
	sizeSmoothing = 0.1
	// maxSizes bounds the routes whose answers' sizes are remembered.
	maxSizes = 4096
)

// answerSizes remembers how long the answers of each route are, so that the
// price of another zone is known when an instance is chosen.
type answerSizes struct {
	// mutex protects means, in bytes.
	mutex sync.Mutex
	means map[string]float64
}

// answered notes the length of an answer; negative when it is not known.
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
