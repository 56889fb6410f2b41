package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// newPlatformDaemon returns the distribution of a daemon in zone z that is past its readyGracePeriod,
// and the lines that it logs about orders.
func newPlatformDaemon(t *testing.T, ordersBound time.Duration) (platform *platformDistribution, lines *[]string) {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	config.EvacuationBound = tunables.Duration(ordersBound)
	lines = &[]string{}
	logger := funcr.New(func(_, line string) {
		if strings.Contains(line, "orders.") {
			*lines = append(*lines, line)
		}
	}, funcr.Options{})
	running, err := New(&config, Options{Logger: logger, Platform: stubPlatform{}})
	assert.NilError(t, err)
	t.Cleanup(running.listeners.close)
	platform = platformDistributionOf(t, running)
	platform.started = time.Now().Add(-2 * readyGracePeriod)
	return platform, lines
}

func evacuationOrders(revision, evacuationRevision uint64, zones ...string) *orders.Set {
	message := &lapisv1.Orders{Revision: revision}
	for _, zone := range zones {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: evacuationRevision})
	}
	return orders.NewSet(message)
}

// A starting daemon puts no configuration in force, and so sends no calls, and is not ready before it
// has received the orders from another daemon or from the store.
func TestNothingIsSentBeforeTheOrdersAreKnown(t *testing.T) {
	for name, learn := range map[string]func(*platformDistribution, *orders.Set){
		"other daemon": func(p *platformDistribution, set *orders.Set) { p.OfferOrders(set, "b") },
		"store":        func(p *platformDistribution, set *orders.Set) { p.readOrders(set) },
	} {
		t.Run(name, func(t *testing.T) {
			platform, _ := newPlatformDaemon(t, 5*time.Second)
			for _, revision := range []uint64{7, 5} {
				platform.OfferConfiguration(configurationOf(t, revision, "/new/"), "near")
			}
			assert.Assert(t, !platform.ready())
			assert.Equal(t, platform.path.revision(), uint64(0))
			ordersFirst := false
			platform.orders.follow = func(_, _ *orders.Set, _ string) {
				platform.OfferConfiguration(configurationOf(t, 6, "/while/"), "near")
				ordersFirst = platform.path.revision() == 0 && !platform.ready()
			}
			learn(platform, evacuationOrders(3, 3, "z"))
			assert.Assert(t, ordersFirst && platform.ready())
			assert.Equal(t, platform.path.revision(), uint64(7))
			assert.Equal(t, heartbeatOf(platform.freshness), callmux.Heartbeat{Revision: 7, Orders: 3})
			assert.Assert(t, platform.path.orders.Evacuated("z"))
		})
	}
}

// If orders are disabled, the daemon does not wait for them, poll them or send them.
func TestNoOrdersWhereNoneAreGiven(t *testing.T) {
	platform, lines := newPlatformDaemon(t, 0)
	platform.OfferConfiguration(configurationOf(t, 7, "/new/"), "near")
	assert.Assert(t, platform.ready())
	assert.Assert(t, platform.follower.ApplyOrders == nil && platform.ordersInForce() == nil)
	assert.Equal(t, len(*lines), 0)
}

// A daemon logs that orders were put in force, with their origin, that they were given again, that they
// name a zone without daemons (once), and that they were withdrawn.
func TestOrdersAreLogged(t *testing.T) {
	platform, lines := newPlatformDaemon(t, 5*time.Second)
	expect := func(step string, wanted ...string) {
		t.Helper()
		assert.Equal(t, len(*lines), len(wanted), "%s: %v", step, *lines)
		for index, words := range wanted {
			for _, word := range strings.Fields(words) {
				assert.Assert(t, strings.Contains((*lines)[index], word), "%s: %s is missing in %s", step, word, (*lines)[index])
			}
		}
		*lines = nil
	}
	platform.OfferOrders(evacuationOrders(3, 3), "b")
	expect("no orders yet", `"orders.in_force" "revision"="3" "before"="0" "zones"="" "by"="b"`)
	platform.readOrders(evacuationOrders(5, 5, "z", "nowhere"))
	expect("given", `"orders.in_force" "revision"="5" "before"="3" "zones"="nowhere,z" "by"="store"`, `"orders.zone_unknown" "zone"="nowhere"`)
	platform.readOrders(evacuationOrders(6, 5, "z", "nowhere"))
	expect("unchanged")
	platform.readOrders(evacuationOrders(8, 8, "nowhere"))
	expect("one withdrawn, one given again", `"orders.given_again" "zone"="nowhere"`, `"orders.in_force" "zones"="nowhere"`)
	assert.Assert(t, platform.path.orders.Evacuated("nowhere") && !platform.path.orders.Evacuated("z"))
	platform.OfferOrders(evacuationOrders(5, 5, "z"), "c")
	expect("older")
	registry := prometheus.NewRegistry()
	platform.RegisterMetrics(registry)
	families, err := registry.Gather()
	assert.NilError(t, err)
	measured := map[string]float64{}
	for _, family := range families {
		measured[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.Equal(t, measured["lapisvane_orders_revision"], 8.0)
	assert.Equal(t, measured["lapisvane_orders_evacuated_zones"], 1.0)
	assert.Equal(t, measured["lapisvane_confirmation_age_seconds"], -1.0)
	platform.OfferOrders(evacuationOrders(9, 9), "c")
	expect("withdrawn", `"orders.in_force" "revision"="9" "before"="8" "zones"="" "by"="c"`)
}
