package configsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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

// The requests for orders take the place of others: quiet times cost what they cost
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
				assert.Assert(t, asked <= 25, "%d requests in %s", asked, ordersBound)
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

// Slow and lost answers make orders late and do not lose them; each poll may need two
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
		poller := leader(mates)
		withheld := without(mates, poller)[0]
		withheld.set(func(m *fleetmate) { m.unordered = true })
		before := withheld.follower.OrderRequests.Load()
		source.give("a")
		changed := time.Now()
		time.Sleep(bound)
		took := orderedAt(t, mates, "a").Sub(changed)
		assert.Assert(t, took <= bound, "took %s", took)
		assert.Assert(t, withheld.follower.OrderRequests.Load() > before)
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
// order holds, at every daemon.
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
