package configsource_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// comeBack makes the source come back from a copy of before any order was given.
func (s *countedSource) comeBack(t *testing.T) {
	t.Helper()
	s.change(func(s *countedSource) {
		at, err := position.In(s.position.Era()+1, 1)
		assert.NilError(t, err)
		s.position, s.forgotten = at, at
		s.given = map[string]configsource.Position{}
	})
}

// eachSize plays a fleet of three, and one as large as the largest sites that have orders.
func eachSize(t *testing.T, test func(t *testing.T, source *countedSource, mates []*fleetmate)) {
	for _, count := range []int{3, 72} {
		t.Run(fmt.Sprint(count, " daemons"), func(t *testing.T) {
			playOrders(t, count, func(source *countedSource, mates []*fleetmate) {
				source.give("a")
				time.Sleep(ordersBound)
				source.comeBack(t)
				time.Sleep(bound)
				orderedAt(t, mates, "a")
				test(t, source, mates)
			})
		})
	}
}

// The failure: only the daemon that read the store's return settled in time. The others heard of it
// with the next change of orders, however much later, and carried the order that was just taken away.
func TestWithdrawalLongAfterTheReturn(t *testing.T) {
	eachSize(t, func(t *testing.T, source *countedSource, mates []*fleetmate) {
		source.give("a")
		time.Sleep(2 * orders.SettleTime)
		source.takeAway("a")
		time.Sleep(ordersBound)
		orderedAt(t, mates)
	})
}

// An order that was written again and taken away does not come back from a daemon that was told so
// and did not read it.
func TestWithdrawalAfterTheReturnIsKeptByTheNextPoller(t *testing.T) {
	eachSize(t, func(t *testing.T, source *countedSource, mates []*fleetmate) {
		source.give("a")
		time.Sleep(bound)
		source.takeAway("a")
		time.Sleep(bound)
		orderedAt(t, mates)
		struck := leader(mates)
		struck.stop()
		mates = without(mates, struck)
		for range 100 {
			// Something else changes, so that the orders are read anew.
			source.change(func(*countedSource) {})
			time.Sleep(orders.SettleTime / 100)
			orderedAt(t, mates)
		}
	})
}

// The daemon that read that the order was written again ends before anybody takes it away.
func TestWithdrawalIsFollowedByTheNextPoller(t *testing.T) {
	eachSize(t, func(t *testing.T, source *countedSource, mates []*fleetmate) {
		source.give("a")
		time.Sleep(bound / 2)
		struck := leader(mates)
		struck.stop()
		source.takeAway("a")
		time.Sleep(bound)
		orderedAt(t, without(mates, struck))
	})
}

// Nobody writes the order again. It ends for all daemons when the era has settled for the first that
// learned of it, also for one that hears of the return late, and where the first one is gone.
func TestOrderThatIsNotWrittenAgainEndsForAll(t *testing.T) {
	for name, strike := range map[string]func(first, other *fleetmate){
		"all hear of the return": func(_, _ *fleetmate) {},
		"one hears of it late": func(_, other *fleetmate) {
			other.set(func(m *fleetmate) { m.deaf, m.refused = true, true })
			time.AfterFunc(orders.SettleTime-time.Second, func() {
				other.set(func(m *fleetmate) { m.deaf, m.refused = false, false })
			})
		},
		"the first that heard of it ends": func(first, _ *fleetmate) {
			time.AfterFunc(orders.SettleTime-time.Second, first.stop)
		},
	} {
		t.Run(name, func(t *testing.T) {
			eachSize(t, func(t *testing.T, source *countedSource, mates []*fleetmate) {
				first := leader(mates)
				others := without(mates, first)
				strike(first, others[0])
				source.comeBack(t)
				returned := time.Now()
				time.Sleep(orders.SettleTime + ordersBound)
				t.Logf("the order ended %s after the return", orderedAt(t, others).Sub(returned))
			})
		})
	}
}

// A daemon that starts while an era settles knows only what the store holds, and ends the settling of
// nobody.
func TestNewcomerEndsNoSettling(t *testing.T) {
	eachSize(t, func(t *testing.T, source *countedSource, mates []*fleetmate) {
		newcomer := &fleetmate{}
		newcomer.orders.ApplyStored(orders.NewSet(&lapisv1.Orders{Revision: uint64(source.position)}))
		gossip(newcomer, mates)
		time.Sleep(bound)
		orderedAt(t, mates, "a")
	})
}
