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

// tickInterval is how often Service looks for what is due without a call or a message.
const tickInterval = 100 * time.Millisecond

// retrySpread is the largest part by which the time that a refused call is told to wait is
// lengthened at random, so that an account's callers do not return as one.
const retrySpread = 0.5

// Config configures a Service.
type Config struct {
	Self   string
	Bounds Bounds
	// Send sends a message to a connected daemon; it may wait.
	Send func(message Message)
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger
}

// Service is a Part that is safe for concurrent use; calls wait in it for credit. It calls Send on
// goroutines of its own, so that its other methods never wait for the network.
type Service struct {
	config Config

	// mutex protects everything below.
	mutex sync.Mutex
	part  *Part
	lines lines
}

// New returns a service that sends nothing until Run is called or a call asks.
func New(config Config) *Service {
	return &Service{config: config, part: NewPart(config.Self, config.Bounds, boottime.Now())}
}

// Run does what is due with time until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.do(func(now time.Time) { s.lines.write(now, s.part, s.config.Logger) })
		}
	}
}

// do calls change with the time under the lock and sends what is due then.
func (s *Service) do(change func(now time.Time)) {
	s.mutex.Lock()
	now := boottime.Now()
	change(now)
	messages := s.part.Outgoing(now)
	s.mutex.Unlock()
	for _, message := range messages {
		go s.config.Send(message)
	}
}

// Take takes the credit for one call of an allowance, which is late where it can no longer be answered
// in time, and waits for it at most answerPatience.
// giveBack returns it; it is called once, for a call that did not run. Errors: CallRateLimited with
// the time after which there is credit again, CallLimitUnknown where no owner answers.
func (s *Service) Take(ctx context.Context, allowance string, limit Limit, revision uint64, late bool) (giveBack func(), err error) {
	var ticket *Ticket
	s.do(func(now time.Time) { ticket = s.part.Take(now, allowance, limit, revision, late) })
	outcome := s.await(ctx, ticket)
	if outcome.Granted {
		return func() { s.do(func(now time.Time) { s.part.GiveBack(now, ticket) }) }, nil
	}
	refused := result.Errorf(outcome.code(), "no credit of %s", allowance)
	refused.RetryAfter = outcome.RetryAfter + time.Duration(retrySpread*s.config.Random()*float64(outcome.RetryAfter))
	return nil, refused
}

// await returns the outcome of a ticket.
func (s *Service) await(ctx context.Context, ticket *Ticket) Outcome {
	select {
	case outcome := <-ticket.Decided:
		return outcome
	default:
	}
	patience := time.NewTimer(answerPatience)
	defer patience.Stop()
	select {
	case outcome := <-ticket.Decided:
		return outcome
	case <-patience.C:
	case <-ctx.Done():
	}
	s.do(func(now time.Time) { s.part.GiveUp(now, ticket) })
	return <-ticket.Decided
}

// Candidates returns the daemons to keep connections to.
func (s *Service) Candidates() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.part.Candidates(boottime.Now())
}

// Members adds daemons that became known.
func (s *Service) Members(nodes []string) {
	s.do(func(now time.Time) { s.part.Members(now, nodes) })
}

// Connected records that this daemon opened a connection to another one.
func (s *Service) Connected(node string) {
	s.do(func(now time.Time) { s.part.Connected(now, node) })
}

// Lost records that such a connection ended, or could not be opened; ended is true where the
// process is known to be gone.
func (s *Service) Lost(node string, ended bool) {
	s.do(func(now time.Time) { s.part.Lost(now, node, ended) })
}

// Joined records a connection that another daemon opened.
func (s *Service) Joined(link Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.part.Joined(link)
}

// Left records the end of a connection that another daemon opened.
func (s *Service) Left(node string, link Link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.part.Left(boottime.Now(), node, link)
}

// ReceiveAsk returns the answer to an ask, nil for none.
func (s *Service) ReceiveAsk(node string, link Link, ask *lapisv1.AllowanceAsk) *lapisv1.AllowanceGrant {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.part.ReceiveAsk(boottime.Now(), node, link, ask)
}

// ReceiveGrant takes the answer of an owner.
func (s *Service) ReceiveGrant(node string, grant *lapisv1.AllowanceGrant) {
	s.do(func(now time.Time) { s.part.ReceiveGrant(now, node, grant) })
}

// Report returns what operators see.
func (s *Service) Report() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.part.report(boottime.Now())
}
