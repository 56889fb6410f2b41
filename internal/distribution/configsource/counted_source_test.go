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

// ordersBound is the time for orders; it is longer than that for a configuration, as
// on the sites that have orders.
const ordersBound = 5 * time.Second

// countedSource keeps a configuration and orders under one counter.
type countedSource struct {
	mutex    sync.Mutex
	position configsource.Position
	// configured is the position of the configuration, which is its revision too;
	// given are those of the orders by zone.
	configured configsource.Position
	given      map[string]configsource.Position
	// forgotten is up to where the history is deleted.
	forgotten configsource.Position
	// blind positions of a watch do not move with orders.
	blind bool
	// down answers nothing, ordersDown and ordersSilent refuse and lose what is about
	// orders; delay slows answers, and each lose-th is lost.
	down, ordersDown, ordersSilent bool
	delay                          time.Duration
	lose, answers                  int
}

func (s *countedSource) change(change func(*countedSource)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.position++
	change(s)
}

func (s *countedSource) give(zone string) {
	s.change(func(s *countedSource) { s.given[zone] = s.position })
}

func (s *countedSource) takeAway(zone string) {
	s.change(func(s *countedSource) { delete(s.given, zone) })
}

func newCountedSource() *countedSource {
	return &countedSource{position: 3, configured: 3, given: map[string]configsource.Position{}}
}

// reached is the source as one daemon reaches it.
type reached struct {
	*countedSource
	mate *fleetmate
}

// answer waits for an answer's time and returns with mutex held, or with an error.
func (s reached) answer(ctx context.Context, aboutOrders bool) error {
	s.mutex.Lock()
	delay := s.delay
	s.answers++
	if s.lose > 0 && s.answers%s.lose == 0 || aboutOrders && s.ordersSilent {
		delay = time.Hour
	}
	s.mutex.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return result.Wrap(result.PlatformUnavailable, ctx.Err(), "no answer in time")
	}
	refused := s.mate.is(func(m *fleetmate) bool { return m.refused })
	s.mutex.Lock()
	if refused || s.down || aboutOrders && s.ordersDown {
		s.mutex.Unlock()
		return result.Errorf(result.PlatformUnavailable, "refused")
	}
	return nil
}

func (s reached) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answer(ctx, false); err != nil {
		return nil, 0, err
	}
	defer s.mutex.Unlock()
	return &lapisv1.Configuration{Revision: uint64(s.configured)}, s.position, nil
}

func (s reached) Next(ctx context.Context, after configsource.Position, _ time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.answer(ctx, false); err != nil {
		return nil, after, err
	}
	defer s.mutex.Unlock()
	switch {
	case after < s.forgotten:
		return nil, after, result.Errorf(result.PlatformCompacted, "the history is deleted")
	case s.configured > after:
		return &lapisv1.Configuration{Revision: uint64(s.configured)}, s.position, nil
	case s.blind:
		return nil, after, nil
	}
	return nil, s.position, nil
}

func (s reached) Orders(ctx context.Context, _ orders.Kinds) (*orders.Set, error) {
	if err := s.answer(ctx, true); err != nil {
		return nil, err
	}
	defer s.mutex.Unlock()
	message := &lapisv1.Orders{Revision: uint64(s.position)}
	for zone, position := range s.given {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: uint64(position)})
	}
	return orders.NewSet(message), nil
}
