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

// search is the state of a node that no known daemon accepts as child. It queries the object
// API, rarely, for the zone's seats, and takes a vacant one when this machine ranks high
// enough. Only the goroutine of Node.Run uses it.
type search struct {
	node    *Node
	backoff membership.SourceBackoff
}

// candidatePoll is the middle of the wait before the candidates are checked again. It must be small
// beside the waits after a refusal, whose end it finds.
const candidatePoll = 50 * time.Millisecond

func newSearch(node *Node) *search {
	search := &search{node: node}
	search.reset()
	return search
}

// reset starts the waits anew: the node starts, or a parent has accepted it.
func (s *search) reset() {
	tunables := s.node.config.Tunables
	s.backoff = membership.NewSourceBackoff(
		tunables.FirstSourceAsk.Get(), tunables.JoinBackoffMin.Get(), tunables.JoinBackoffMax.Get(),
		boottime.Now(), rand.Float64(),
	)
}

// queryStore waits for candidatePoll and then, when a query is due, asks the object API who the
// zone's readers are. It returns a seat to take, if any.
func (s *search) queryStore(ctx context.Context) (vacancy seat.Vacancy, found bool) {
	if !sleep.For(ctx, candidatePoll/2+rand.N(candidatePoll)) || !s.backoff.Due(boottime.Now()) {
		return seat.Vacancy{}, false
	}
	s.backoff.Queried(boottime.Now(), rand.Float64())
	config := s.node.config
	list, err := config.Store.List(ctx, seat.ZonePrefix(config.Zone), "", 0)
	if err != nil {
		s.node.markStoreUnreachable()
		s.node.logStoreError("reading the zone's seats", err)
		return seat.Vacancy{}, false
	}
	vacancies := s.node.findReaders(list.Objects)
	if len(vacancies) == 0 || config.NoSeat {
		return seat.Vacancy{}, false
	}
	machines, err := config.Store.Machines(ctx, config.Zone)
	if err != nil {
		s.node.logStoreError("reading the machine list", err)
		return seat.Vacancy{}, false
	}
	for _, vacancy := range vacancies {
		rank, _ := membership.Rank(machines, config.Node, vacancy.Seat)
		if membership.MayTakeSeat(rank, s.backoff.Rounds()) {
			return vacancy, true
		}
	}
	return seat.Vacancy{}, false
}
