package callmux

import (
	"context"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// A fence prevents an attempt from starting and reports whether it had already started. A call
// whose connection was lost may be sent to another instance only if the fence proves that it has
// not run.

// fenceLost fences an attempt whose connection was lost, over a new connection to the same address.
// It gives up after fenceTimeout or when ctx ends. It returns CallNotRunUnreachable if the same
// process of the peer (incarnation) had not started the attempt, otherwise the error lost.
func (c *Client) fenceLost(ctx context.Context, address string, incarnation uint64, attempt string, lost error) error {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	current, err := c.sessionTo(ctx, address)
	for err != nil && c.Maintained && sleep.For(ctx, fencePollInterval) {
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

// fenced delivers the peer's reply to the fence call that waits for it.
func (s *session) fenced(answer *lapisv1.CallFenced) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if waiting, ok := s.fences[answer.GetAttemptId()]; ok {
		delete(s.fences, answer.GetAttemptId())
		waiting <- answer
	}
}

// fence asks the peer to fence an attempt and waits for the reply.
func (s *session) fence(ctx context.Context, attempt string) (*lapisv1.CallFenced, error) {
	waiting := make(chan *lapisv1.CallFenced, 1)
	s.mutex.Lock()
	s.fences[attempt] = waiting
	s.mutex.Unlock()
	// In the background, since the write blocks while the peer does not read. A failed write closes
	// the session.
	go s.notify(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Fence{Fence: &lapisv1.CallFence{AttemptId: attempt}}})
	select {
	case answer := <-waiting:
		return answer, nil
	case <-s.closed:
		return nil, result.Errorf(result.CallUnknownOutcome, "the connection was lost during the fence")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
