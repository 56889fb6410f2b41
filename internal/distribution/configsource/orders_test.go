package configsource_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	// forgotten is up to where the history is gone.
	forgotten configsource.Position
	// blind positions of a watch do not move with orders.
	blind bool
	// down answers nothing, ordersDown and ordersSilent refuse and lose what is about
	// orders; delay slows answers, and each lose-th is lost.
	down, ordersDown, ordersSilent bool
	delay                          time.Duration
	lose, answers                  int
}

func newCountedSource() *countedSource {
	return &countedSource{position: 3, configured: 3, given: map[string]configsource.Position{}}
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
		return nil, after, result.Errorf(result.PlatformCompacted, "the history is gone")
	case s.configured > after:
		return &lapisv1.Configuration{Revision: uint64(s.configured)}, s.position, nil
	case s.blind:
		return nil, after, nil
	}
	return nil, s.position, nil
}

func (s reached) Orders(ctx context.Context) (*orders.Set, error) {
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

// playOrders runs so many daemons that follow orders until test returns.
func playOrders(t *testing.T, count int, test func(source *countedSource, mates []*fleetmate)) {
	source := newCountedSource()
	reach := func(mate *fleetmate) configsource.Source { return reached{source, mate} }
	playMates(t, count, ordersBound, reach, func(mates []*fleetmate) { test(source, mates) })
}

// orderedAt is when the last daemon had the orders in force that ask for zones; all
// must have them.
func orderedAt(t *testing.T, mates []*fleetmate, zones ...string) (last time.Time) {
	t.Helper()
	for _, mate := range mates {
		assert.DeepEqual(t, mate.orders.Load().Zones(), append([]string{}, zones...))
		mate.set(func(m *fleetmate) {
			if m.orderedAt.After(last) {
				last = m.orderedAt
			}
		})
	}
	return last
}

// calls is what all daemons have asked.
func calls(mates []*fleetmate) (total int64) {
	for _, mate := range mates {
		total += mate.follower.Asked.Load() + mate.follower.OrdersAsked.Load()
	}
	return total
}

// without returns all daemons but one.
func without(mates []*fleetmate, struck *fleetmate) []*fleetmate {
	return slices.DeleteFunc(slices.Clone(mates), func(mate *fleetmate) bool { return mate == struck })
}

func TestOrderIsInForceInTimeAndTakenAwayToo(t *testing.T) {
	for _, count := range []int{1, 12, 50} {
		playOrders(t, count, func(source *countedSource, mates []*fleetmate) {
			for _, zones := range [][]string{{"a"}, {}} {
				changed := time.Now()
				if len(zones) > 0 {
					source.give("a")
				} else {
					source.takeAway("a")
				}
				time.Sleep(ordersBound)
				took := orderedAt(t, mates, zones...).Sub(changed)
				assert.Assert(t, took >= 0 && took <= bound/3, "%d daemons took %s for %v", count, took, zones)
			}
		})
	}
}

// The questions about orders take the place of others: quiet times cost what they cost
// without orders (TestQuestionsDoNotGrowWithTheFleet).
func TestQuietTimesCostNoMoreWithOrders(t *testing.T) {
	for _, count := range []int{2, 12, 300} {
		playOrders(t, count, func(_ *countedSource, mates []*fleetmate) {
			before := calls(mates)
			time.Sleep(20 * time.Second)
			asked := calls(mates) - before
			assert.Assert(t, asked >= 40 && asked <= 60, "%d daemons asked %d times in 20 s", count, asked)
		})
	}
}

// Whatever becomes of the daemon that asks right after an order was given or taken
// away, each other one follows in time.
func TestOrderIsInForceInTimeWithoutTheLeader(t *testing.T) {
	for name, strike := range map[string]func(*fleetmate){
		"ended":   func(m *fleetmate) { m.stop() },
		"mute":    func(m *fleetmate) { m.set(func(m *fleetmate) { m.mute = true }) },
		"cut off": func(m *fleetmate) { m.set(func(m *fleetmate) { m.mute, m.deaf = true, true }) },
		"refused": func(m *fleetmate) { m.set(func(m *fleetmate) { m.refused = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, 50, func(source *countedSource, mates []*fleetmate) {
				for round := range 4 {
					struck := leader(mates)
					changed := time.Now()
					zones := []string{"a"}
					if round%2 == 0 {
						source.give("a")
					} else {
						source.takeAway("a")
						zones = nil
					}
					strike(struck)
					time.Sleep(ordersBound)
					mates = without(mates, struck)
					took := orderedAt(t, mates, zones...).Sub(changed)
					assert.Assert(t, took >= 0 && took <= bound, "round %d took %s", round, took)
				}
			})
		})
	}
}

// Orders given and taken away in an outage are followed when it ends, whether or not
// the history of it is kept.
func TestOrdersOfAnOutage(t *testing.T) {
	for name, forget := range map[string]bool{"history kept": false, "history dropped": true} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, 12, func(source *countedSource, mates []*fleetmate) {
				source.give("a")
				time.Sleep(bound)
				source.change(func(s *countedSource) { s.down = true })
				time.Sleep(bound)
				source.takeAway("a")
				source.give("b")
				time.Sleep(2 * bound)
				orderedAt(t, mates, "a")
				before := calls(mates)
				source.change(func(s *countedSource) {
					s.down = false
					if forget {
						s.forgotten = s.position
					}
				})
				returned := time.Now()
				time.Sleep(ordersBound)
				took := orderedAt(t, mates, "b").Sub(returned)
				assert.Assert(t, took <= bound/2, "took %s", took)
				asked := calls(mates) - before
				assert.Assert(t, asked <= 25, "%d questions in %s", asked, ordersBound)
			})
		})
	}
}

// Dropped history in calm times loses no order taken away meanwhile.
func TestOrderTakenAwayWhenHistoryIsDropped(t *testing.T) {
	playOrders(t, 12, func(source *countedSource, mates []*fleetmate) {
		source.give("a")
		time.Sleep(bound)
		orderedAt(t, mates, "a")
		source.takeAway("a")
		source.change(func(s *countedSource) { s.forgotten = s.position })
		changed := time.Now()
		time.Sleep(ordersBound)
		took := orderedAt(t, mates).Sub(changed)
		assert.Assert(t, took <= bound/3, "took %s", took)
	})
}

// Slow and lost answers make orders late and do not lose them; each turn may need two
// answers. A source whose watches do not say that orders changed is read all the same.
func TestOrdersOfATroubledSource(t *testing.T) {
	for name, trouble := range map[string]func(*countedSource){
		"slow":                         func(s *countedSource) { s.delay = bound / 5 },
		"each third answer is lost":    func(s *countedSource) { s.lose = 3 },
		"positions that do not move":   func(s *countedSource) { s.blind = true },
		"slow, and each third is lost": func(s *countedSource) { s.delay, s.lose = bound/5, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			playOrders(t, 12, func(source *countedSource, mates []*fleetmate) {
				source.change(trouble)
				time.Sleep(ordersBound)
				source.give("a")
				changed := time.Now()
				time.Sleep(ordersBound)
				took := orderedAt(t, mates, "a").Sub(changed)
				assert.Assert(t, took <= ordersBound/2, "took %s", took)
			})
		})
	}
}

// A daemon alone does not wait for an answer that was lost.
func TestLostAnswerAboutOrders(t *testing.T) {
	playOrders(t, 1, func(source *countedSource, mates []*fleetmate) {
		source.give("a")
		source.change(func(s *countedSource) { s.ordersSilent = true })
		time.Sleep(bound)
		source.change(func(s *countedSource) { s.ordersSilent = false })
		time.Sleep(2 * bound)
		orderedAt(t, mates, "a")
	})
}

// A daemon that hears that others follow newer orders, and does not get these, does
// not look fresh and asks for itself.
func TestDaemonWithoutTheOrdersAsksForThem(t *testing.T) {
	playOrders(t, 12, func(source *countedSource, mates []*fleetmate) {
		told := leader(mates)
		withheld := without(mates, told)[0]
		withheld.set(func(m *fleetmate) { m.unordered = true })
		before := withheld.follower.OrdersAsked.Load()
		source.give("a")
		changed := time.Now()
		time.Sleep(bound)
		took := orderedAt(t, mates, "a").Sub(changed)
		assert.Assert(t, took <= bound, "took %s", took)
		assert.Assert(t, withheld.follower.OrdersAsked.Load() > before)
	})
}

// Nothing is confirmed while the orders cannot be had; the configuration is followed.
func TestConfigurationIsFollowedWithoutOrders(t *testing.T) {
	playOrders(t, 2, func(source *countedSource, mates []*fleetmate) {
		source.change(func(s *countedSource) { s.ordersDown = true })
		time.Sleep(bound)
		confirmed := mates[0].freshness.Confirmed()
		source.change(func(s *countedSource) { s.configured = s.position })
		time.Sleep(2 * bound)
		latest(t, mates, uint64(source.configured))
		assert.Assert(t, mates[0].freshness.Confirmed().Equal(confirmed))
	})
}

// Given, taken away and given again within a second, and the other way round: the last
// word holds, at every daemon.
func TestOrderGivenAgainWithinASecond(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 450 * time.Millisecond} {
		playOrders(t, 12, func(source *countedSource, mates []*fleetmate) {
			for range 2 {
				source.give("a")
				time.Sleep(pause)
				source.takeAway("a")
				time.Sleep(pause)
			}
			source.give("a")
			time.Sleep(bound)
			orderedAt(t, mates, "a")
			source.takeAway("a")
			time.Sleep(pause)
			source.give("a")
			time.Sleep(pause)
			source.takeAway("a")
			time.Sleep(bound)
			orderedAt(t, mates)
		})
	}
}
