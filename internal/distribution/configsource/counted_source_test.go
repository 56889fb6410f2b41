package configsource_test

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// ordersBound is the time within which orders must be in force. It is longer than that of a
// configuration, as on sites that have orders.
const ordersBound = 5 * time.Second

// countedSource is a source whose configuration and orders share one position counter.
type countedSource struct {
	mutex    sync.Mutex
	position configsource.Position
	// configurationPosition is the position, and also the revision, of the configuration;
	// orderPositions holds the positions of the orders by zone.
	configurationPosition configsource.Position
	orderPositions        map[string]configsource.Position
	// compactedTo is the position up to which the history is deleted.
	compactedTo configsource.Position
	// positionsIgnoreOrders keeps the positions returned by Next unchanged when orders change.
	positionsIgnoreOrders bool
	// down refuses all requests. ordersRefused refuses and ordersUnanswered loses the requests for
	// orders. delay slows every answer, and every loseEvery-th answer is lost.
	down, ordersRefused, ordersUnanswered bool
	delay                                 time.Duration
	loseEvery, answers                    int
}

func (s *countedSource) change(change func(*countedSource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.position++
	change(s)
}

func (s *countedSource) giveOrder(zone string) {
	s.change(func(s *countedSource) { s.orderPositions[zone] = s.position })
}

func (s *countedSource) withdrawOrder(zone string) {
	s.change(func(s *countedSource) { delete(s.orderPositions, zone) })
}

func newCountedSource() *countedSource {
	return &countedSource{position: 3, configurationPosition: 3, orderPositions: map[string]configsource.Position{}}
}

// reachableSource is a countedSource as seen by one daemon.
type reachableSource struct {
	*countedSource
	daemon *fleetDaemon
}

// answer waits for the delay of an answer and returns with mutex held, or returns an error.
func (s reachableSource) answer(ctx context.Context, aboutOrders bool) error {
	s.mutex.Lock()
	delay := s.delay
	s.answers++
	if s.loseEvery > 0 && s.answers%s.loseEvery == 0 || aboutOrders && s.ordersUnanswered {
		delay = time.Hour
	}
	s.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnavailable, ctx.Err(), "no answer in time")
	}
	refused := s.daemon.is(func(m *fleetDaemon) bool { return m.refused })
	s.mutex.Lock()
	if refused || s.down || aboutOrders && s.ordersRefused {
		s.mutex.Unlock()
		return result.Errorf(result.PlatformUnavailable, "refused")
	}
	return nil
}

func (s reachableSource) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answer(ctx, false); err != nil {
		return nil, 0, err
	}
	defer s.mutex.Unlock()
	return &lapisv1.Configuration{Revision: uint64(s.configurationPosition)}, s.position, nil
}

func (s reachableSource) Next(ctx context.Context, after configsource.Position, _ time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answer(ctx, false); err != nil {
		return nil, after, err
	}
	defer s.mutex.Unlock()
	switch {
	case after < s.compactedTo:
		return nil, after, result.Errorf(result.PlatformCompacted, "the history is deleted")
	case s.configurationPosition > after:
		return &lapisv1.Configuration{Revision: uint64(s.configurationPosition)}, s.position, nil
	case s.positionsIgnoreOrders:
		return nil, after, nil
	}
	return nil, s.position, nil
}

func (s reachableSource) Orders(ctx context.Context, _ orders.Kinds) (*orders.Set, error) {
	if err := s.answer(ctx, true); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	message := &lapisv1.Orders{Revision: uint64(s.position)}
	for zone, position := range s.orderPositions {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: uint64(position)})
	}
	return orders.NewSet(message), nil
}
