package tree

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// search is the effort of a node that no known daemon accepts as child. It
// asks the object API, rarely, who holds the zone's seats, and takes a vacant
// one when this machine ranks high enough.
type search struct {
	node    *Node
	rounds  int
	backoff time.Duration
	// nextAsk is when the object API may be asked.
	nextAsk time.Time
}

// candidatePoll is the wait before looking again for a known daemon to try.
const candidatePoll = 50 * time.Millisecond

func newSearch(node *Node) *search {
	first := node.config.Tunables.FirstSourceAsk.Get()
	return &search{node: node, backoff: node.config.Tunables.JoinBackoffMin.Get(), nextAsk: boottime.Now().Add(rand.N(first + 1))}
}

// reset notes that a parent accepted. The next question to the object API
// waits a random time again, because a lost parent may have had many children.
func (s *search) reset() {
	s.rounds = 0
	s.backoff = s.node.config.Tunables.JoinBackoffMin.Get()
	s.nextAsk = boottime.Now().Add(rand.N(s.node.config.Tunables.FirstSourceAsk.Get() + 1))
}

// askSource waits a little and, when it is time, asks the object API. It
// returns a seat to take, if any.
func (s *search) askSource(ctx context.Context) (vacancy seat.Vacancy, found bool) {
	if !sleep.For(ctx, candidatePoll/2+rand.N(candidatePoll)) || boottime.Now().Before(s.nextAsk) {
		return seat.Vacancy{}, false
	}
	s.rounds++
	s.backoff = min(2*s.backoff, s.node.config.Tunables.JoinBackoffMax.Get())
	s.nextAsk = boottime.Now().Add(s.backoff/2 + rand.N(s.backoff))
	zone := s.node.config.Zone
	list, err := s.node.config.Store.List(ctx, seat.ZonePrefix(zone), "", 0)
	if err != nil {
		s.node.lostSource()
		return seat.Vacancy{}, false
	}
	vacancies := s.node.observeSeats(list.Objects)
	if len(vacancies) == 0 || s.node.config.NoSeat {
		return seat.Vacancy{}, false
	}
	machines, err := s.node.config.Store.Machines(ctx, zone)
	if err != nil {
		return seat.Vacancy{}, false
	}
	for _, vacancy := range vacancies {
		rank, _ := membership.Rank(machines, s.node.config.Node, vacancy.Seat)
		if membership.MayTakeSeat(rank, s.rounds) {
			return vacancy, true
		}
	}
	return seat.Vacancy{}, false
}
