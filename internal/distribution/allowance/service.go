package allowance

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// tickInterval is the interval at which Service sends what is due without a call or a message.
const tickInterval = 100 * time.Millisecond

// retryJitter is the maximum random extension of a refused call's retry delay, as a fraction of it,
// so that the callers of an account do not retry at the same time.
const retryJitter = 0.5

type Config struct {
	Self   string
	Bounds Bounds
	// Send sends a message to a connected daemon. It may block.
	Send func(message Message)
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger
}

// Service is a Participant that is safe for concurrent use, in which calls wait for credit. It
// calls Send on separate goroutines, so that its other methods never wait for the network.
type Service struct {
	config Config

	// mutex protects the fields below.
	mutex       sync.Mutex
	participant *Participant
	changes     changeLogger
}

// New returns a Service. It sends nothing before Run is called or the first call arrives.
func New(config Config) *Service {
	return &Service{config: config, participant: NewParticipant(config.Self, config.Bounds, boottime.Now())}
}

// Run performs periodic work until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.update(func(now time.Time) { s.changes.logChanges(now, s.participant, s.config.Logger) })
		}
	}
}

// update calls change with the current time while it holds the mutex, then sends the messages that
// are due.
func (s *Service) update(change func(now time.Time)) {
	s.mutex.Lock()
	now := boottime.Now()
	change(now)
	messages := s.participant.Outgoing(now)
	s.mutex.Unlock()
	for _, message := range messages {
		go s.config.Send(message)
	}
}

// Take takes the credit for one call of an allowance and waits for it at most answerTimeout. late
// marks a call that can no longer be answered in time. giveBack returns the credit; it is called at
// most once, for a call that did not run. Errors: CallRateLimited with the time until credit is
// expected, or CallLimitUnknown if no owner answers.
func (s *Service) Take(ctx context.Context, allowance string, limit Limit, revision uint64, late bool) (giveBack func(), err error) {
	var ticket *Ticket
	s.update(func(now time.Time) { ticket = s.participant.Take(now, allowance, limit, revision, late) })
	outcome := s.await(ctx, ticket)
	if outcome.Granted {
		return func() { s.update(func(now time.Time) { s.participant.GiveBack(now, ticket) }) }, nil
	}
	refused := result.Errorf(outcome.code(), "no credit of %s", allowance)
	refused.RetryAfter = outcome.RetryAfter + time.Duration(retryJitter*s.config.Random()*float64(outcome.RetryAfter))
	return nil, refused
}

// await returns the outcome of a ticket.
func (s *Service) await(ctx context.Context, ticket *Ticket) Outcome {
	select {
	case outcome := <-ticket.Decided:
		return outcome
	default:
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case outcome := <-ticket.Decided:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
	}
	s.update(func(now time.Time) { s.participant.GiveUp(now, ticket) })
	return <-ticket.Decided
}

// Candidates returns the daemons to keep connections to.
func (s *Service) Candidates() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.participant.Candidates(boottime.Now())
}

// Members adds daemons that became known.
func (s *Service) Members(nodes []string) {
	s.update(func(now time.Time) { s.participant.Members(now, nodes) })
}

// FleetKnown records that the members added so far are the fleet (Participant.FleetKnown).
func (s *Service) FleetKnown() {
	s.update(func(now time.Time) { s.participant.FleetKnown(now) })
}

// Connected records that this daemon opened a connection to another one.
func (s *Service) Connected(node string) {
	s.update(func(now time.Time) { s.participant.Connected(now, node) })
}

// Lost records that a connection opened by this daemon ended or could not be opened. ended is true
// if the process at the other end is known to have ended.
func (s *Service) Lost(node string, ended bool) {
	s.update(func(now time.Time) { s.participant.Lost(now, node, ended) })
}

// Joined records a connection that another daemon opened.
func (s *Service) Joined(link Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.participant.Joined(link)
}

// Left records the end of a connection that another daemon opened.
func (s *Service) Left(node string, link Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.participant.Left(boottime.Now(), node, link)
}

// ReceiveAsk returns the answer to an ask, nil if there is none.
func (s *Service) ReceiveAsk(node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.participant.ReceiveAsk(boottime.Now(), node, link, ask)
}

// ReceiveGrant processes an owner's answer.
func (s *Service) ReceiveGrant(node string, grant *lapisv1.AllowanceGrant) {
	s.update(func(now time.Time) { s.participant.ReceiveGrant(now, node, grant) })
}

// Report returns the state shown in the metrics.
func (s *Service) Report() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.participant.report(boottime.Now())
}
