package configsource_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// tellDelay is the time that a daemon's word takes to reach all others.
const tellDelay = 30 * time.Millisecond

// fleetmate is one daemon of a fleet whose members tell each other.
type fleetmate struct {
	applied
	freshness configsource.Freshness
	follower  *configsource.Follower
	stop      context.CancelFunc

	orders orders.Current

	// mutex protects the rest. A mute daemon tells nobody, a deaf one hears nobody,
	// a refused one gets no answer from the source, an unordered one hears which
	// orders others have and not the orders.
	mutex                          sync.Mutex
	mute, deaf, refused, unordered bool
	orderedAt                      time.Time
}

// take takes in orders and passes them on.
func (m *fleetmate) take(set *orders.Set, replace func(*orders.Set) (*orders.Set, bool), mates []*fleetmate) {
	if _, taken := replace(set); !taken {
		return
	}
	m.freshness.AdvanceOrders(m.orders.Load().Revision())
	m.set(func(m *fleetmate) { m.orderedAt = time.Now() })
	tell(m, mates)
}

func (m *fleetmate) apply(configuration *lapisv1.Configuration) {
	m.applied.apply(configuration)
	m.freshness.Advance(configuration.GetRevision())
}

func (m *fleetmate) set(change func(*fleetmate)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

func (m *fleetmate) is(what func(*fleetmate) bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return what(m)
}

// ownSource is the source as one daemon reaches it.
type ownSource struct {
	*scriptedSource
	mate *fleetmate
}

func (s ownSource) refused() error {
	if s.mate.is(func(m *fleetmate) bool { return m.refused }) {
		return result.Errorf(result.PlatformUnavailable, "refused")
	}
	return nil
}

func (s ownSource) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.refused(); err != nil {
		return nil, 0, err
	}
	return s.scriptedSource.Latest(ctx)
}

func (s ownSource) Next(ctx context.Context, after configsource.Position, wait time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.refused(); err != nil {
		return nil, after, err
	}
	return s.scriptedSource.Next(ctx, after, wait)
}

// playFleet runs so many daemons against a source until test returns.
func playFleet(t *testing.T, count int, test func(source *scriptedSource, mates []*fleetmate)) {
	source := &scriptedSource{log: []uint64{3}}
	reach := func(mate *fleetmate) configsource.Source { return ownSource{source, mate} }
	playMates(t, count, 0, reach, func(mates []*fleetmate) { test(source, mates) })
}

// playMates runs so many daemons, each of which reaches a source in its own way, until
// test returns. They follow orders where these have a bound.
func playMates(t *testing.T, count int, ordersBound time.Duration, reach func(*fleetmate) configsource.Source, test func([]*fleetmate)) {
	synctest.Test(t, func(t *testing.T) {
		var running sync.WaitGroup
		mates := make([]*fleetmate, count)
		for index := range mates {
			mates[index] = &fleetmate{}
		}
		for index, mate := range mates {
			ctx, cancel := context.WithCancel(context.Background())
			random := rand.New(rand.NewPCG(7, uint64(index)))
			mate.stop = cancel
			mate.follower = &configsource.Follower{
				Source: reach(mate), Apply: mate.apply, Freshness: &mate.freshness, Bound: bound,
				Confirmed: func() { tell(mate, mates) }, Daemons: func() int { return count }, Random: random.Float64,
				Pace: func() time.Duration { return 0 }, Logger: logr.Discard(),
			}
			if ordersBound > 0 {
				mate.freshness.WithOrders = true
				mate.follower.OrdersBound = ordersBound
				mate.follower.TakeOrders = func(set *orders.Set) { mate.take(set, mate.orders.Read, mates) }
			}
			running.Go(func() { mate.follower.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		test(mates)
		for _, mate := range mates {
			mate.stop()
		}
		running.Wait()
		time.Sleep(time.Second)
	})
}

// tell passes a daemon's version and confirmation on to all that hear it.
func tell(from *fleetmate, mates []*fleetmate) {
	if from.is(func(m *fleetmate) bool { return m.mute }) {
		return
	}
	versions, confirmed := from.freshness.InForce()
	set := from.orders.Load()
	for _, mate := range mates {
		if mate == from || mate.is(func(m *fleetmate) bool { return m.deaf }) {
			continue
		}
		time.AfterFunc(tellDelay, func() {
			mate.freshness.Confirm(versions, confirmed)
			if known, _ := mate.last(); versions.Configuration > known {
				mate.apply(&lapisv1.Configuration{Revision: versions.Configuration})
			}
			if set != nil && !mate.is(func(m *fleetmate) bool { return m.unordered }) {
				mate.take(set, mate.orders.Replace, mates)
			}
		})
	}
}

func questions(mates []*fleetmate) (total int64) {
	for _, mate := range mates {
		total += mate.follower.Asked.Load()
	}
	return total
}

// latest is when the last daemon had a revision in force; all must have it.
func latest(t *testing.T, mates []*fleetmate, revision uint64) (last time.Time) {
	t.Helper()
	for index, mate := range mates {
		applied, at := mate.last()
		assert.Equal(t, applied, revision, "daemon %d", index)
		if at.After(last) {
			last = at
		}
	}
	return last
}

// leader is the daemon that asked most in the last second.
func leader(mates []*fleetmate) (found *fleetmate) {
	before := map[*fleetmate]int64{}
	for _, mate := range mates {
		before[mate] = mate.follower.Asked.Load()
	}
	time.Sleep(time.Second)
	most := int64(0)
	for _, mate := range mates {
		if asked := mate.follower.Asked.Load() - before[mate]; asked > most {
			most, found = asked, mate
		}
	}
	return found
}

func TestQuestionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, count := range []int{2, 12, 300} {
		playFleet(t, count, func(source *scriptedSource, mates []*fleetmate) {
			before := questions(mates)
			time.Sleep(20 * time.Second)
			asked := questions(mates) - before
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

// A daemon that hears nobody asks for itself in time, and so do all at once.
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

// While the source turns most daemons away, those that it serves tell the others.
func TestServedDaemonsTellThoseTurnedAway(t *testing.T) {
	playFleet(t, 50, func(source *scriptedSource, mates []*fleetmate) {
		for _, mate := range mates[1:] {
			mate.set(func(m *fleetmate) { m.refused = true })
		}
		time.Sleep(bound)
		before := questions(mates)
		changed := time.Now()
		source.add(7)
		time.Sleep(5 * bound)
		took := latest(t, mates, 7).Sub(changed)
		assert.Assert(t, took <= bound/3, "took %s", took)
		asked := questions(mates) - before
		assert.Assert(t, asked <= 30, "%d questions", asked)
	})
}

// In an outage each daemon asks now and then, and the first that is answered ends
// it for all.
func TestOutageCostsFewQuestions(t *testing.T) {
	playFleet(t, 300, func(source *scriptedSource, mates []*fleetmate) {
		down := func(down bool) {
			for _, mate := range mates {
				mate.set(func(m *fleetmate) { m.refused = down })
			}
		}
		before := questions(mates)
		down(true)
		time.Sleep(10 * time.Second)
		asked := questions(mates) - before
		assert.Assert(t, asked <= 300*7, "%d questions in an outage of 10 s", asked)
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
		before := questions(mates)
		newcomer := &fleetmate{}
		told := leader(mates)
		versions, confirmed := told.freshness.InForce()
		newcomer.apply(&lapisv1.Configuration{Revision: versions.Configuration})
		newcomer.freshness.Confirm(versions, confirmed)
		ctx, cancel := context.WithCancel(context.Background())
		newcomer.follower = &configsource.Follower{
			Source: ownSource{&scriptedSource{log: []uint64{versions.Configuration}}, newcomer}, Apply: newcomer.apply, Freshness: &newcomer.freshness,
			Bound: bound, Confirmed: func() {}, Daemons: func() int { return 13 }, Random: rand.New(rand.NewPCG(1, 1)).Float64,
			Pace: func() time.Duration { return 0 }, Logger: logr.Discard(),
		}
		var running sync.WaitGroup
		running.Go(func() { newcomer.follower.Run(ctx) })
		time.Sleep(bound / 5)
		assert.Equal(t, newcomer.follower.Asked.Load(), int64(0))
		assert.Assert(t, questions(mates) > before)
		cancel()
		running.Wait()
	})
}
