package callmux

import (
	"context"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// A fence keeps an attempt from starting from then on, and reports whether it had started. A call
// whose connection was lost may be sent elsewhere only where it is proved not to have run.

// fenceLost fences an attempt on a lost connection over a new one, within fenceTimeout and while the
// call lasts. It returns CallNotRunUnreachable where the same process of the peer (incarnation) had
// not started the attempt, else lost.
func (c *Client) fenceLost(ctx context.Context, address string, incarnation uint64, attempt string, lost error) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	current, err := c.sessionTo(ctx, address)
	for err != nil && c.Maintained && sleep.For(ctx, fencePoll) {
		current, err = c.sessionTo(ctx, address)
	}
	if err != nil || current.incarnation != incarnation {
		return lost
	}
	answer, err := current.fence(ctx, attempt)
	if err != nil || answer.GetStarted() || answer.GetIncarnation() != incarnation {
		return lost
	}
	return result.Wrap(result.CallNotRunUnreachable, lost, "the attempt was fenced before it started")
}

// fenced passes the peer's answer to the fence that waits for it.
func (s *session) fenced(answer *lapisv1.CallFenced) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if waiting, ok := s.fences[answer.GetAttemptId()]; ok {
		delete(s.fences, answer.GetAttemptId())
		waiting <- answer
	}
}

// fence asks the peer to fence an attempt.
func (s *session) fence(ctx context.Context, attempt string) (*lapisv1.CallFenced, error) {
	waiting := make(chan *lapisv1.CallFenced, 1)
	s.mutex.Lock()
	s.fences[attempt] = waiting
	s.mutex.Unlock()
	// In the background: the peer may not read. A write that fails closes the session.
	go s.notify(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Fence{Fence: &lapisv1.CallFence{AttemptId: attempt}}})
	select {
	case answer := <-waiting:
		return answer, nil
	case <-s.closed:
		return nil, result.Errorf(result.CallUnknownOutcome, "the connection was lost again")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
