package configsource_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// gossipDelay is the time that a daemon's gossip takes to reach all others.
const gossipDelay = 30 * time.Millisecond

// fleetmate is one daemon of a fleet whose members gossip.
type fleetmate struct {
	applied
	freshness configsource.Freshness
	follower  *configsource.Follower
	stop      func()

	orders orders.Current

	// mutex protects the rest. A mute daemon sends no gossip, a deaf one receives none,
	// a refused one gets no answer from the source, an unordered one learns which
	// orders others have and not the orders.
	mutex                          sync.Mutex
	mute, deaf, refused, unordered bool
	orderedAt                      time.Time
	// told are the revisions of the orders that others were told last.
	told map[*fleetmate]uint64
}

// applyOrders applies orders and passes them on.
func (m *fleetmate) applyOrders(set *orders.Set, replace func(*orders.Set) (*orders.Set, bool), mates []*fleetmate) {
	if _, taken := replace(set); !taken {
		return
	}
	m.freshness.AdvanceOrders(m.orders.Load().Revision())
	m.set(func(m *fleetmate) { m.orderedAt = time.Now() })
	gossip(m, mates)
}

func (m *fleetmate) apply(configuration *lapisv1.Configuration) {
	m.applied.apply(configuration)
	m.freshness.Advance(configuration.GetRevision())
}

// followerOf returns the daemon's follower of a source in a fleet of so many.
func (m *fleetmate) followerOf(source configsource.Source, daemons int, random *rand.Rand, adjust func(*configsource.Follower)) *configsource.Follower {
	return newFollower(source, m.apply, func(follower *configsource.Follower) {
		follower.Freshness, follower.Random = &m.freshness, random.Float64
		follower.Daemons = func() int { return daemons }
		follower.MinInterval = func() time.Duration { return 0 }
		adjust(follower)
	})
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
		mates := make([]*fleetmate, count)
		for index := range mates {
			mates[index] = &fleetmate{}
		}
		for index, mate := range mates {
			random := rand.New(rand.NewPCG(7, uint64(index)))
			mate.follower = mate.followerOf(reach(mate), count, random, func(follower *configsource.Follower) {
				follower.Confirmed = func() { gossip(mate, mates) }
				if ordersBound > 0 {
					mate.freshness.WithOrders = true
					follower.OrdersBound = ordersBound
					follower.ApplyOrders = func(set *orders.Set) { mate.applyOrders(set, mate.orders.ApplyStored, mates) }
				}
			})
			mate.stop = run(mate.follower)
		}
		defer func() {
			for _, mate := range mates {
				mate.stop()
			}
			time.Sleep(time.Second)
		}()
		time.Sleep(5 * time.Second)
		test(mates)
	})
}

// playOrders runs so many daemons that follow orders until test returns.
func playOrders(t *testing.T, count int, test func(source *countedSource, mates []*fleetmate)) {
	source := newCountedSource()
	reach := func(mate *fleetmate) configsource.Source { return reached{source, mate} }
	playMates(t, count, ordersBound, reach, func(mates []*fleetmate) { test(source, mates) })
}

// tells reports whether another daemon has not been told the orders at a revision, and records that
// it was: orders pass a link when it opens and when they change.
func (m *fleetmate) tells(mate *fleetmate, revision uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.told == nil {
		m.told = map[*fleetmate]uint64{}
	}
	news := m.told[mate] != revision
	m.told[mate] = revision
	return news
}

// gossip passes a daemon's version and confirmation, and orders that changed, on to all that receive
// it.
func gossip(from *fleetmate, mates []*fleetmate) {
	if from.is(func(m *fleetmate) bool { return m.mute }) {
		return
	}
	versions, confirmed := from.freshness.InForce()
	told := from.orders.Message()
	for _, mate := range mates {
		if mate == from || mate.is(func(m *fleetmate) bool { return m.deaf }) {
			continue
		}
		news := told != nil && from.tells(mate, told.GetRevision())
		time.AfterFunc(gossipDelay, func() {
			mate.freshness.Confirm(versions, confirmed)
			if known, _ := mate.last(); versions.Configuration > known {
				mate.apply(&lapisv1.Configuration{Revision: versions.Configuration})
			}
			if news && !mate.is(func(m *fleetmate) bool { return m.unordered }) {
				mate.applyOrders(orders.NewSet(told), mate.orders.ApplyReceived, mates)
			}
		})
	}
}

func requests(mates []*fleetmate) (total int64) {
	for _, mate := range mates {
		total += mate.follower.ConfigurationRequests.Load()
	}
	return total
}

// calls is what all daemons have asked.
func calls(mates []*fleetmate) (total int64) {
	for _, mate := range mates {
		total += mate.follower.ConfigurationRequests.Load() + mate.follower.OrderRequests.Load()
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

// leader is the daemon that asked most in the last second.
func leader(mates []*fleetmate) (found *fleetmate) {
	before := map[*fleetmate]int64{}
	for _, mate := range mates {
		before[mate] = mate.follower.ConfigurationRequests.Load()
	}
	time.Sleep(time.Second)
	most := int64(0)
	for _, mate := range mates {
		if asked := mate.follower.ConfigurationRequests.Load() - before[mate]; asked > most {
			most, found = asked, mate
		}
	}
	return found
}

// without returns all daemons but one.
func without(mates []*fleetmate, struck *fleetmate) []*fleetmate {
	return slices.DeleteFunc(slices.Clone(mates), func(mate *fleetmate) bool { return mate == struck })
}
