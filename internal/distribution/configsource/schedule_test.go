package configsource_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
)

func TestQuestionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{2, 12, 300} {
		runFleet(t, count, func(source *scriptedSource, fleet []*fleetDaemon) {
			before := requests(fleet)
			time.Sleep(20 * time.Second)
			asked := requests(fleet) - before
			assert.Assert(t, asked >= 40 && asked <= 60, "%d daemons asked %d times in 20 s", count, asked)
			changed := time.Now()
			source.add(7)
			time.Sleep(bound)
			took := lastAppliedAt(t, fleet, 7).Sub(changed)
			assert.Assert(t, took <= bound/3, "%d daemons took %s", count, took)
		})
	}
}

// All other daemons receive a change in time when the active poller ends, stops sending gossip
// while it continues to poll, or is refused by the source.
func TestChangeIsInForceInTimeWithoutTheLeader(t *testing.T) {
	for name, disrupt := range map[string]func(*fleetDaemon){
		"ended":   func(m *fleetDaemon) { m.stop() },
		"mute":    func(m *fleetDaemon) { m.set(func(m *fleetDaemon) { m.outBlocked = true }) },
		"refused": func(m *fleetDaemon) { m.set(func(m *fleetDaemon) { m.refused = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 50, func(source *scriptedSource, fleet []*fleetDaemon) {
				for range 3 {
					disrupted := activePoller(fleet)
					disrupt(disrupted)
					changed := time.Now()
					source.add(uint64(len(source.log) + 10))
					revision := source.log[len(source.log)-1]
					time.Sleep(bound)
					var others []*fleetDaemon
					for _, daemon := range fleet {
						if daemon != disrupted {
							others = append(others, daemon)
						}
					}
					took := lastAppliedAt(t, others, revision).Sub(changed)
					assert.Assert(t, took <= bound*7/10, "took %s", took)
					fleet = others
				}
			})
		})
	}
}

// Daemons that receive no gossip, one or all of them, poll the source themselves in time.
func TestDeafDaemonsAskForThemselves(t *testing.T) {
	for _, blocked := range []int{1, 50} {
		runFleet(t, 50, func(source *scriptedSource, fleet []*fleetDaemon) {
			for _, daemon := range fleet[:blocked] {
				daemon.set(func(m *fleetDaemon) { m.inBlocked = true })
			}
			changed := time.Now()
			source.add(7)
			time.Sleep(bound)
			took := lastAppliedAt(t, fleet, 7).Sub(changed)
			assert.Assert(t, took <= bound*7/10, "with %d daemons without incoming gossip: %s", blocked, took)
		})
	}
}

// While the source refuses most daemons, the daemons that it serves inform the others.
func TestServedDaemonsTellThoseTurnedAway(t *testing.T) {
	runFleet(t, 50, func(source *scriptedSource, fleet []*fleetDaemon) {
		for _, daemon := range fleet[1:] {
			daemon.set(func(m *fleetDaemon) { m.refused = true })
		}
		time.Sleep(bound)
		before := requests(fleet)
		changed := time.Now()
		source.add(7)
		time.Sleep(5 * bound)
		took := lastAppliedAt(t, fleet, 7).Sub(changed)
		assert.Assert(t, took <= bound/3, "took %s", took)
		asked := requests(fleet) - before
		assert.Assert(t, asked <= 30, "%d requests", asked)
	})
}

// During an outage each daemon polls at a low rate, and the first answered poll updates all
// daemons.
func TestOutageCostsFewQuestions(t *testing.T) {
	runFleet(t, 300, func(source *scriptedSource, fleet []*fleetDaemon) {
		down := func(down bool) {
			for _, daemon := range fleet {
				daemon.set(func(m *fleetDaemon) { m.refused = down })
			}
		}
		before := requests(fleet)
		down(true)
		time.Sleep(10 * time.Second)
		asked := requests(fleet) - before
		assert.Assert(t, asked <= 300*7, "%d requests in an outage of 10 s", asked)
		down(false)
		returned := time.Now()
		source.add(7)
		time.Sleep(bound)
		took := lastAppliedAt(t, fleet, 7).Sub(returned)
		assert.Assert(t, took <= bound/4, "took %s", took)
	})
}

// A daemon that starts among others does not poll: their confirmations from before its start are
// valid for it too.
func TestStartingDaemonDoesNotAsk(t *testing.T) {
	runFleet(t, 12, func(_ *scriptedSource, fleet []*fleetDaemon) {
		time.Sleep(time.Second)
		before := requests(fleet)
		newcomer := &fleetDaemon{}
		poller := activePoller(fleet)
		versions, confirmed := poller.freshness.InForce()
		newcomer.apply(&lapisv1.Configuration{Revision: versions.Configuration})
		newcomer.freshness.Confirm(versions, confirmed)
		source := daemonSource{&scriptedSource{log: []uint64{versions.Configuration}}, newcomer}
		newcomer.follower = newcomer.followerOf(source, 13, rand.New(rand.NewPCG(1, 1)), func(*configsource.Follower) {})
		defer run(newcomer.follower)()
		time.Sleep(bound / 5)
		assert.Equal(t, newcomer.follower.ConfigurationRequests.Load(), int64(0))
		assert.Assert(t, requests(fleet) > before)
	})
}
