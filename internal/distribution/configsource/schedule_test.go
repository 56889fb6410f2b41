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
		playFleet(t, count, func(source *scriptedSource, mates []*fleetmate) {
			before := requests(mates)
			time.Sleep(20 * time.Second)
			asked := requests(mates) - before
			assert.Assert(t, asked >= 40 && asked <= 60, "%d daemons asked %d times in 20 s", count, asked)
			changed := time.Now()
			source.add(7)
			time.Sleep(bound)
			took := latest(t, mates, 7).Sub(changed)
			assert.Assert(t, took <= bound/3, "%d daemons took %s", count, took)
		})
	}
}

// Whatever becomes of the daemon that asks, each other one has a change in time:
// it ends, it falls silent while it goes on asking, or the source turns it away.
func TestChangeIsInForceInTimeWithoutTheLeader(t *testing.T) {
	for name, strike := range map[string]func(*fleetmate){
		"ended":   func(m *fleetmate) { m.stop() },
		"mute":    func(m *fleetmate) { m.set(func(m *fleetmate) { m.mute = true }) },
		"refused": func(m *fleetmate) { m.set(func(m *fleetmate) { m.refused = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			playFleet(t, 50, func(source *scriptedSource, mates []*fleetmate) {
				for range 3 {
					struck := leader(mates)
					strike(struck)
					changed := time.Now()
					source.add(uint64(len(source.log) + 10))
					revision := source.log[len(source.log)-1]
					time.Sleep(bound)
					var others []*fleetmate
					for _, mate := range mates {
						if mate != struck {
							others = append(others, mate)
						}
					}
					took := latest(t, others, revision).Sub(changed)
					assert.Assert(t, took <= bound*7/10, "took %s", took)
					mates = others
				}
			})
		})
	}
}

// A daemon that receives no gossip polls the source itself in time, and so do all at once.
func TestDeafDaemonsAskForThemselves(t *testing.T) {
	for _, deaf := range []int{1, 50} {
		playFleet(t, 50, func(source *scriptedSource, mates []*fleetmate) {
			for _, mate := range mates[:deaf] {
				mate.set(func(m *fleetmate) { m.deaf = true })
			}
			changed := time.Now()
			source.add(7)
			time.Sleep(bound)
			took := latest(t, mates, 7).Sub(changed)
			assert.Assert(t, took <= bound*7/10, "with %d deaf daemons: %s", deaf, took)
		})
	}
}

// While the source turns most daemons away, those that it serves inform the others.
func TestServedDaemonsTellThoseTurnedAway(t *testing.T) {
	playFleet(t, 50, func(source *scriptedSource, mates []*fleetmate) {
		for _, mate := range mates[1:] {
			mate.set(func(m *fleetmate) { m.refused = true })
		}
		time.Sleep(bound)
		before := requests(mates)
		changed := time.Now()
		source.add(7)
		time.Sleep(5 * bound)
		took := latest(t, mates, 7).Sub(changed)
		assert.Assert(t, took <= bound/3, "took %s", took)
		asked := requests(mates) - before
		assert.Assert(t, asked <= 30, "%d requests", asked)
	})
}

// In an outage each daemon asks now and then, and the first that is answered ends it for all.
func TestOutageCostsFewQuestions(t *testing.T) {
	playFleet(t, 300, func(source *scriptedSource, mates []*fleetmate) {
		down := func(down bool) {
			for _, mate := range mates {
				mate.set(func(m *fleetmate) { m.refused = down })
			}
		}
		before := requests(mates)
		down(true)
		time.Sleep(10 * time.Second)
		asked := requests(mates) - before
		assert.Assert(t, asked <= 300*7, "%d requests in an outage of 10 s", asked)
		down(false)
		returned := time.Now()
		source.add(7)
		time.Sleep(bound)
		took := latest(t, mates, 7).Sub(returned)
		assert.Assert(t, took <= bound/4, "took %s", took)
	})
}

// A daemon that starts among others does not ask: what they had confirmed before its
// start counts for it too.
func TestStartingDaemonDoesNotAsk(t *testing.T) {
	playFleet(t, 12, func(_ *scriptedSource, mates []*fleetmate) {
		time.Sleep(time.Second)
		before := requests(mates)
		newcomer := &fleetmate{}
		poller := leader(mates)
		versions, confirmed := poller.freshness.InForce()
		newcomer.apply(&lapisv1.Configuration{Revision: versions.Configuration})
		newcomer.freshness.Confirm(versions, confirmed)
		source := ownSource{&scriptedSource{log: []uint64{versions.Configuration}}, newcomer}
		newcomer.follower = newcomer.followerOf(source, 13, rand.New(rand.NewPCG(1, 1)), func(*configsource.Follower) {})
		defer run(newcomer.follower)()
		time.Sleep(bound / 5)
		assert.Equal(t, newcomer.follower.ConfigurationRequests.Load(), int64(0))
		assert.Assert(t, requests(mates) > before)
	})
}
