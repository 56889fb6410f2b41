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

// search is the state of a node's search for a parent while none of the known daemons accepts it as
// a child. It queries the object API, with backoff, for the seats of the zone, and takes a vacant
// seat when this machine ranks high enough. Only the goroutine of Node.Run uses it.
type search struct {
	node    *Node
	backoff membership.SourceBackoff
}

// candidatePollInterval is the mean delay between two checks of the candidates. It must be small
// compared with the retry delays of refusals, because it adds to them.
const candidatePollInterval = 50 * time.Millisecond

func newSearch(node *Node) *search {
	search := &search{node: node}
	search.reset()
	return search
}

// reset restarts the backoff, at the start of the node or after a parent accepted it.
func (s *search) reset() {
	tunables := s.node.config.Tunables
	s.backoff = membership.NewSourceBackoff(
		tunables.FirstSourceQueryMaxDelay.Get(), tunables.JoinBackoffMin.Get(), tunables.JoinBackoffMax.Get(),
		boottime.Now(), rand.Float64(),
	)
}

// queryStore waits for candidatePollInterval and then, when a query is due, reads the zone's seats
// from the object API. It returns a seat to take, if any.
func (s *search) queryStore(ctx context.Context) (vacancy seat.Vacancy, found bool) {
	if !sleep.For(ctx, candidatePollInterval/2+rand.N(candidatePollInterval)) || !s.backoff.Due(boottime.Now()) {
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
