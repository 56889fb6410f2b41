package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
)

// What the daemon beside an instance that ended found reaches all of a fleet in which nobody
// is connected to everybody, each receives it a bounded number of times, and a daemon that
// starts has it from its neighbours.
func TestSuspectsReachAllDaemons(t *testing.T) {
	const daemons = 50
	line := fingerprint.Line{Method: "GET", Host: "a", Target: "/deadly"}
	keys := fingerprint.Of(line, nil).Whole()
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: keys, Caller: "desk"}}
	playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var known []*follower
		for index := range daemons {
			known = append(known, start(index, nil))
		}
		time.Sleep(20 * time.Second)
		for end := range uint64(3) {
			// Each instance ends beside another daemon.
			found := known[7*end]
			found.spread(found.registry.Crashed(end, inFlight), "")
			time.Sleep(time.Second)
		}
		for index, each := range known {
			assert.Equal(t, each.registry.Count(keys), 3, "daemon %d", index)
			assert.Assert(t, each.received.Load() <= 3*daemons, "daemon %d got %d messages", index, each.received.Load())
		}
		newcomer := start(daemons, nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, newcomer.registry.Evaluate(keys, "desk").Quarantined)
	})
}
