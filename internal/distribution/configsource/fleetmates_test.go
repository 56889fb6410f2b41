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

// gossipDelay is the time until a daemon's gossip reaches the other daemons.
const gossipDelay = 30 * time.Millisecond

// fleetDaemon is one daemon of a fleet whose daemons gossip.
type fleetDaemon struct {
	applied
	freshness configsource.Freshness
	follower  *configsource.Follower
	stop      func()

	orders orders.Current

	// mutex protects the fields below. outBlocked drops the gossip that the daemon sends,
	// inBlocked the gossip that it receives. refused makes the source refuse its requests.
	// ordersWithheld lets it learn the revision of the orders of others, but not the orders.
	mutex                                          sync.Mutex
	outBlocked, inBlocked, refused, ordersWithheld bool
	ordersAppliedAt                                time.Time
	// sentOrders holds the revision of the orders last sent to each other daemon.
	sentOrders map[*fleetDaemon]uint64
}

// applyOrders applies orders and, if they are new, gossips them.
func (m *fleetDaemon) applyOrders(set *orders.Set, replace func(*orders.Set) (*orders.Set, bool), fleet []*fleetDaemon) {
	if _, taken := replace(set); !taken {
		return
	}
	m.freshness.AdvanceOrders(m.orders.Load().Revision())
	m.set(func(m *fleetDaemon) { m.ordersAppliedAt = time.Now() })
	gossip(m, fleet)
}

func (m *fleetDaemon) apply(configuration *lapisv1.Configuration) {
	m.applied.apply(configuration)
	m.freshness.Advance(configuration.GetRevision())
}

// followerOf returns the daemon's follower of a source, in a fleet of the given size.
func (m *fleetDaemon) followerOf(source configsource.Source, daemons int, random *rand.Rand, adjust func(*configsource.Follower)) *configsource.Follower {
	return newFollower(source, m.apply, func(follower *configsource.Follower) {
		follower.Freshness, follower.Random = &m.freshness, random.Float64
		follower.Daemons = func() int { return daemons }
		follower.MinInterval = func() time.Duration { return 0 }
		adjust(follower)
	})
}

func (m *fleetDaemon) set(change func(*fleetDaemon)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(m)
}

func (m *fleetDaemon) is(predicate func(*fleetDaemon) bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return predicate(m)
}

// daemonSource is a scriptedSource as seen by one daemon.
type daemonSource struct {
	*scriptedSource
	daemon *fleetDaemon
}

func (s daemonSource) refused() error {
	if s.daemon.is(func(m *fleetDaemon) bool { return m.refused }) {
		return result.Errorf(result.PlatformUnavailable, "refused")
	}
	return nil
}

func (s daemonSource) Latest(ctx context.Context) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.refused(); err != nil {
		return nil, 0, err
	}
	return s.scriptedSource.Latest(ctx)
}

func (s daemonSource) Next(ctx context.Context, after configsource.Position, wait time.Duration) (*lapisv1.Configuration, configsource.Position, error) {
	if err := s.refused(); err != nil {
		return nil, after, err
	}
	return s.scriptedSource.Next(ctx, after, wait)
}

// runFleet runs count daemons against a scripted source until test returns.
func runFleet(t *testing.T, count int, test func(source *scriptedSource, fleet []*fleetDaemon)) {
	source := &scriptedSource{log: []uint64{3}}
	reach := func(daemon *fleetDaemon) configsource.Source { return daemonSource{source, daemon} }
	runDaemons(t, count, 0, reach, func(fleet []*fleetDaemon) { test(source, fleet) })
}

// runDaemons runs count daemons until test returns; reach returns the source of a daemon. The
// daemons follow orders if ordersBound is positive.
func runDaemons(t *testing.T, count int, ordersBound time.Duration, reach func(*fleetDaemon) configsource.Source, test func([]*fleetDaemon)) {
	synctest.Test(t, func(t *testing.T) {
		fleet := make([]*fleetDaemon, count)
		for index := range fleet {
			fleet[index] = &fleetDaemon{}
		}
		for index, daemon := range fleet {
			random := rand.New(rand.NewPCG(7, uint64(index)))
			daemon.follower = daemon.followerOf(reach(daemon), count, random, func(follower *configsource.Follower) {
				follower.Confirmed = func() { gossip(daemon, fleet) }
				if ordersBound > 0 {
					daemon.freshness.WithOrders = true
					follower.OrdersBound = ordersBound
					follower.ApplyOrders = func(set *orders.Set) { daemon.applyOrders(set, daemon.orders.ApplyStored, fleet) }
				}
			})
			daemon.stop = run(daemon.follower)
		}
		defer func() {
			for _, daemon := range fleet {
				daemon.stop()
			}
			time.Sleep(time.Second)
		}()
		time.Sleep(5 * time.Second)
		test(fleet)
	})
}

// runFleetWithOrders runs count daemons that follow orders until test returns.
func runFleetWithOrders(t *testing.T, count int, test func(source *countedSource, fleet []*fleetDaemon)) {
	source := newCountedSource()
	reach := func(daemon *fleetDaemon) configsource.Source { return reachableSource{source, daemon} }
	runDaemons(t, count, ordersBound, reach, func(fleet []*fleetDaemon) { test(source, fleet) })
}

// recordSent reports whether the other daemon has not been sent the orders at a revision, and
// records that it has: orders are sent over a link when it opens and when they change.
func (m *fleetDaemon) recordSent(daemon *fleetDaemon, revision uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.sentOrders == nil {
		m.sentOrders = map[*fleetDaemon]uint64{}
	}
	news := m.sentOrders[daemon] != revision
	m.sentOrders[daemon] = revision
	return news
}

// gossip sends a daemon's versions and confirmation, and changed orders, to all daemons that
// receive gossip.
func gossip(from *fleetDaemon, fleet []*fleetDaemon) {
	if from.is(func(m *fleetDaemon) bool { return m.outBlocked }) {
		return
	}
	versions, confirmed := from.freshness.InForce()
	message := from.orders.Message()
	for _, daemon := range fleet {
		if daemon == from || daemon.is(func(m *fleetDaemon) bool { return m.inBlocked }) {
			continue
		}
		news := message != nil && from.recordSent(daemon, message.GetRevision())
		time.AfterFunc(gossipDelay, func() {
			daemon.freshness.Confirm(versions, confirmed)
			if known, _ := daemon.last(); versions.Configuration > known {
				daemon.apply(&lapisv1.Configuration{Revision: versions.Configuration})
			}
			if news && !daemon.is(func(m *fleetDaemon) bool { return m.ordersWithheld }) {
				daemon.applyOrders(orders.NewSet(message), daemon.orders.ApplyReceived, fleet)
			}
		})
	}
}

func requests(fleet []*fleetDaemon) (total int64) {
	for _, daemon := range fleet {
		total += daemon.follower.ConfigurationRequests.Load()
	}
	return total
}

// allRequests returns the number of requests of all daemons.
func allRequests(fleet []*fleetDaemon) (total int64) {
	for _, daemon := range fleet {
		total += daemon.follower.ConfigurationRequests.Load() + daemon.follower.OrderRequests.Load()
	}
	return total
}

// lastAppliedAt returns the time at which the last daemon put revision in force; it fails if a
// daemon has not.
func lastAppliedAt(t *testing.T, fleet []*fleetDaemon, revision uint64) (last time.Time) {
	t.Helper()
	for index, daemon := range fleet {
		applied, at := daemon.last()
		assert.Equal(t, applied, revision, "daemon %d", index)
		if at.After(last) {
			last = at
		}
	}
	return last
}

// ordersAppliedAt returns the time at which the last daemon put the current orders in force; it
// fails if a daemon does not have orders for exactly zones.
func ordersAppliedAt(t *testing.T, fleet []*fleetDaemon, zones ...string) (last time.Time) {
	t.Helper()
	for _, daemon := range fleet {
		assert.DeepEqual(t, daemon.orders.Load().Zones(), append([]string{}, zones...))
		daemon.set(func(m *fleetDaemon) {
			if m.ordersAppliedAt.After(last) {
				last = m.ordersAppliedAt
			}
		})
	}
	return last
}

// activePoller returns the daemon that sent the most requests in the last second.
func activePoller(fleet []*fleetDaemon) (found *fleetDaemon) {
	before := map[*fleetDaemon]int64{}
	for _, daemon := range fleet {
		before[daemon] = daemon.follower.ConfigurationRequests.Load()
	}
	time.Sleep(time.Second)
	maxRequests := int64(0)
	for _, daemon := range fleet {
		if asked := daemon.follower.ConfigurationRequests.Load() - before[daemon]; asked > maxRequests {
			maxRequests, found = asked, daemon
		}
	}
	return found
}

// without returns all daemons except one.
func without(fleet []*fleetDaemon, disrupted *fleetDaemon) []*fleetDaemon {
	return slices.DeleteFunc(slices.Clone(fleet), func(daemon *fleetDaemon) bool { return daemon == disrupted })
}
