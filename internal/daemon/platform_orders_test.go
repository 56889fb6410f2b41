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

// startedLongAgo is a daemon of zone z whose time to wait for others is over, with the
// lines that it logs about orders.
func startedLongAgo(t *testing.T, ordersBound time.Duration) (part *platformDistribution, lines *[]string) {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	config.EvacuationBound = tunables.Duration(ordersBound)
	lines = &[]string{}
	logger := funcr.New(func(_, line string) {
		if strings.Contains(line, "orders.") {
			*lines = append(*lines, line)
		}
	}, funcr.Options{})
	running, err := New(&config, Options{Logger: logger, Platform: idlePlatform{}})
	assert.NilError(t, err)
	t.Cleanup(running.listeners.close)
	part = platformPart(t, running)
	part.started = time.Now().Add(-2 * readyGrace)
	return part, lines
}

func evacuating(revision, given uint64, zones ...string) *orders.Set {
	message := &lapisv1.Orders{Revision: revision}
	for _, zone := range zones {
		message.Evacuations = append(message.Evacuations, &lapisv1.Evacuation{Zone: zone, Revision: given})
	}
	return orders.NewSet(message)
}

// A daemon that starts puts no configuration in force, so that it sends nothing, and is
// not ready before it knows the orders, be it from a neighbour or from the store.
func TestNothingIsSentBeforeTheOrdersAreKnown(t *testing.T) {
	for name, learn := range map[string]func(*platformDistribution, *orders.Set){
		"neighbour": func(p *platformDistribution, set *orders.Set) { p.OfferOrders(set, "b") },
		"store":     func(p *platformDistribution, set *orders.Set) { p.readOrders(set) },
	} {
		t.Run(name, func(t *testing.T) {
			part, _ := startedLongAgo(t, 5*time.Second)
			for _, revision := range []uint64{7, 5} {
				part.Offer(configurationOf(t, revision, "/new/"))
			}
			assert.Assert(t, !part.ready())
			assert.Equal(t, part.path.revision(), uint64(0))
			inForceFirst := false
			part.orders.follow = func(_, _ *orders.Set, _ string) {
				part.Offer(configurationOf(t, 6, "/while/"))
				inForceFirst = part.path.revision() == 0 && !part.ready()
			}
			learn(part, evacuating(3, 3, "z"))
			assert.Assert(t, inForceFirst && part.ready())
			assert.Equal(t, part.path.revision(), uint64(7))
			assert.Equal(t, heartbeatOf(part.freshness), callmux.Heartbeat{Revision: 7, Orders: 3})
			assert.Assert(t, part.path.orders.Evacuated("z"))
		})
	}
}

// Where operators give no orders, none are waited for, asked for or sent.
func TestNoOrdersWhereNoneAreGiven(t *testing.T) {
	part, lines := startedLongAgo(t, 0)
	part.Offer(configurationOf(t, 7, "/new/"))
	assert.Assert(t, part.ready())
	assert.Assert(t, part.follower.ApplyOrders == nil && part.ordersInForce() == nil)
	assert.Equal(t, len(*lines), 0)
}

// What an order does is logged: put in force with who brought it, given again, for a
// zone that nobody is in (once), and taken away.
func TestOrdersAreLogged(t *testing.T) {
	part, lines := startedLongAgo(t, 5*time.Second)
	expect := func(what string, wanted ...string) {
		t.Helper()
		assert.Equal(t, len(*lines), len(wanted), "%s: %v", what, *lines)
		for index, words := range wanted {
			for _, word := range strings.Fields(words) {
				assert.Assert(t, strings.Contains((*lines)[index], word), "%s: no %s in %s", what, word, (*lines)[index])
			}
		}
		*lines = nil
	}
	part.OfferOrders(evacuating(3, 3), "b")
	expect("none yet", `"orders.in_force" "revision"="3" "before"="0" "zones"="" "by"="b"`)
	part.readOrders(evacuating(5, 5, "z", "nowhere"))
	expect("given", `"orders.in_force" "revision"="5" "before"="3" "zones"="nowhere,z" "by"="store"`, `"orders.zone_unknown" "zone"="nowhere"`)
	part.readOrders(evacuating(6, 5, "z", "nowhere"))
	expect("the same")
	part.readOrders(evacuating(8, 8, "nowhere"))
	expect("taken away and given again", `"orders.given_again" "zone"="nowhere"`, `"orders.in_force" "zones"="nowhere"`)
	assert.Assert(t, part.path.orders.Evacuated("nowhere") && !part.path.orders.Evacuated("z"))
	part.OfferOrders(evacuating(5, 5, "z"), "c")
	expect("older")
	registry := prometheus.NewRegistry()
	part.RegisterMetrics(registry)
	families, err := registry.Gather()
	assert.NilError(t, err)
	measured := map[string]float64{}
	for _, family := range families {
		measured[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	assert.Equal(t, measured["lapisvane_orders_revision"], 8.0)
	assert.Equal(t, measured["lapisvane_orders_evacuated_zones"], 1.0)
	assert.Equal(t, measured["lapisvane_confirmation_age_seconds"], -1.0)
	part.OfferOrders(evacuating(9, 9), "c")
	expect("taken away", `"orders.in_force" "revision"="9" "before"="8" "zones"="" "by"="c"`)
}
