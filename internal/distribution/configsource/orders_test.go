package configsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrderIsInForceInTimeAndTakenAwayToo(t *testing.T) {
	for _, count := range []int{1, 12, 50} {
		runFleetWithOrders(t, count, func(source *countedSource, fleet []*fleetDaemon) {
			for _, zones := range [][]string{{"a"}, {}} {
				changed := time.Now()
				if len(zones) > 0 {
					source.giveOrder("a")
				} else {
					source.withdrawOrder("a")
				}
				time.Sleep(ordersBound)
				took := ordersAppliedAt(t, fleet, zones...).Sub(changed)
				assert.Assert(t, took >= 0 && took <= bound/3, "%d daemons took %s for %v", count, took, zones)
			}
		})
	}
}

// Requests for orders replace requests for the configuration: while nothing changes, the number of
// requests is the same as without orders (TestQuestionsDoNotGrowWithTheFleet).
func TestQuietTimesCostNoMoreWithOrders(t *testing.T) {
	for _, count := range []int{2, 12, 300} {
		runFleetWithOrders(t, count, func(_ *countedSource, fleet []*fleetDaemon) {
			before := allRequests(fleet)
			time.Sleep(20 * time.Second)
			asked := allRequests(fleet) - before
			assert.Assert(t, asked >= 40 && asked <= 60, "%d daemons asked %d times in 20 s", count, asked)
		})
	}
}

// All other daemons follow in time when the active poller fails right after an order was given or
// withdrawn.
func TestOrderIsInForceInTimeWithoutTheLeader(t *testing.T) {
	for name, disrupt := range map[string]func(*fleetDaemon){
		"ended":   func(m *fleetDaemon) { m.stop() },
		"mute":    func(m *fleetDaemon) { m.set(func(m *fleetDaemon) { m.outBlocked = true }) },
		"cut off": func(m *fleetDaemon) { m.set(func(m *fleetDaemon) { m.outBlocked, m.inBlocked = true, true }) },
		"refused": func(m *fleetDaemon) { m.set(func(m *fleetDaemon) { m.refused = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWithOrders(t, 50, func(source *countedSource, fleet []*fleetDaemon) {
				for round := range 4 {
					disrupted := activePoller(fleet)
					changed := time.Now()
					zones := []string{"a"}
					if round%2 == 0 {
						source.giveOrder("a")
					} else {
						source.withdrawOrder("a")
						zones = nil
					}
					disrupt(disrupted)
					time.Sleep(ordersBound)
					fleet = without(fleet, disrupted)
					took := ordersAppliedAt(t, fleet, zones...).Sub(changed)
					assert.Assert(t, took >= 0 && took <= bound, "round %d took %s", round, took)
				}
			})
		})
	}
}

// Orders given and withdrawn during an outage are followed when it ends, whether or not the history
// of the outage is kept.
func TestOrdersOfAnOutage(t *testing.T) {
	for name, forget := range map[string]bool{"history kept": false, "history dropped": true} {
		t.Run(name, func(t *testing.T) {
			runFleetWithOrders(t, 12, func(source *countedSource, fleet []*fleetDaemon) {
				source.giveOrder("a")
				time.Sleep(bound)
				source.change(func(s *countedSource) { s.down = true })
				time.Sleep(bound)
				source.withdrawOrder("a")
				source.giveOrder("b")
				time.Sleep(2 * bound)
				ordersAppliedAt(t, fleet, "a")
				before := allRequests(fleet)
				source.change(func(s *countedSource) {
					s.down = false
					if forget {
						s.compactedTo = s.position
					}
				})
				returned := time.Now()
				time.Sleep(ordersBound)
				took := ordersAppliedAt(t, fleet, "b").Sub(returned)
				assert.Assert(t, took <= bound/2, "took %s", took)
				asked := allRequests(fleet) - before
				assert.Assert(t, asked <= 25, "%d requests in %s", asked, ordersBound)
			})
		})
	}
}

// An order withdrawn while the history is deleted is still withdrawn at every daemon.
func TestOrderTakenAwayWhenHistoryIsDropped(t *testing.T) {
	runFleetWithOrders(t, 12, func(source *countedSource, fleet []*fleetDaemon) {
		source.giveOrder("a")
		time.Sleep(bound)
		ordersAppliedAt(t, fleet, "a")
		source.withdrawOrder("a")
		source.change(func(s *countedSource) { s.compactedTo = s.position })
		changed := time.Now()
		time.Sleep(ordersBound)
		took := ordersAppliedAt(t, fleet).Sub(changed)
		assert.Assert(t, took <= bound/3, "took %s", took)
	})
}

// Slow and lost answers delay orders but do not lose them; each poll may need two answers. A source
// whose positions do not change with orders is still followed.
func TestOrdersOfATroubledSource(t *testing.T) {
	for name, trouble := range map[string]func(*countedSource){
		"slow":                         func(s *countedSource) { s.delay = bound / 5 },
		"each third answer is lost":    func(s *countedSource) { s.loseEvery = 3 },
		"positions that do not move":   func(s *countedSource) { s.positionsIgnoreOrders = true },
		"slow, and each third is lost": func(s *countedSource) { s.delay, s.loseEvery = bound/5, 3 },
	} {
		t.Run(name, func(t *testing.T) {
			runFleetWithOrders(t, 12, func(source *countedSource, fleet []*fleetDaemon) {
				source.change(trouble)
				time.Sleep(ordersBound)
				source.giveOrder("a")
				changed := time.Now()
				time.Sleep(ordersBound)
				took := ordersAppliedAt(t, fleet, "a").Sub(changed)
				assert.Assert(t, took <= ordersBound/2, "took %s", took)
			})
		})
	}
}

// A single daemon does not keep waiting for a lost answer.
func TestLostAnswerAboutOrders(t *testing.T) {
	runFleetWithOrders(t, 1, func(source *countedSource, fleet []*fleetDaemon) {
		source.giveOrder("a")
		source.change(func(s *countedSource) { s.ordersUnanswered = true })
		time.Sleep(bound)
		source.change(func(s *countedSource) { s.ordersUnanswered = false })
		time.Sleep(2 * bound)
		ordersAppliedAt(t, fleet, "a")
	})
}

// A daemon that learns that others have newer orders, but does not receive them, must not consider
// itself fresh and reads them from the source.
func TestDaemonWithoutTheOrdersAsksForThem(t *testing.T) {
	runFleetWithOrders(t, 12, func(source *countedSource, fleet []*fleetDaemon) {
		poller := activePoller(fleet)
		withheld := without(fleet, poller)[0]
		withheld.set(func(m *fleetDaemon) { m.ordersWithheld = true })
		before := withheld.follower.OrderRequests.Load()
		source.giveOrder("a")
		changed := time.Now()
		time.Sleep(bound)
		took := ordersAppliedAt(t, fleet, "a").Sub(changed)
		assert.Assert(t, took <= bound, "took %s", took)
		assert.Assert(t, withheld.follower.OrderRequests.Load() > before)
	})
}

// While the orders cannot be read, the configuration is followed but nothing is confirmed.
func TestConfigurationIsFollowedWithoutOrders(t *testing.T) {
	runFleetWithOrders(t, 2, func(source *countedSource, fleet []*fleetDaemon) {
		source.change(func(s *countedSource) { s.ordersRefused = true })
		time.Sleep(bound)
		confirmed := fleet[0].freshness.Confirmed()
		source.change(func(s *countedSource) { s.configurationPosition = s.position })
		time.Sleep(2 * bound)
		lastAppliedAt(t, fleet, uint64(source.configurationPosition))
		assert.Assert(t, fleet[0].freshness.Confirmed().Equal(confirmed))
	})
}

// An order that is repeatedly given and withdrawn within a second ends in its last state at every
// daemon.
func TestOrderGivenAgainWithinASecond(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 450 * time.Millisecond} {
		runFleetWithOrders(t, 12, func(source *countedSource, fleet []*fleetDaemon) {
			for range 2 {
				source.giveOrder("a")
				time.Sleep(pause)
				source.withdrawOrder("a")
				time.Sleep(pause)
			}
			source.giveOrder("a")
			time.Sleep(bound)
			ordersAppliedAt(t, fleet, "a")
			source.withdrawOrder("a")
			time.Sleep(pause)
			source.giveOrder("a")
			time.Sleep(pause)
			source.withdrawOrder("a")
			time.Sleep(bound)
			ordersAppliedAt(t, fleet)
		})
	}
}
