package day_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/emulator/client"
	"github.com/lapisvane/lapisvane/internal/emulator/day"
	"github.com/lapisvane/lapisvane/internal/emulator/instance"
	"github.com/lapisvane/lapisvane/platform"
)

const (
	// rolled is the service whose versions are rolled out, and newer the version ordered.
	rolled, newer = "desk", "v2"
	// rolloutTime is the time that the orders give.
	rolloutTime = 15 * time.Second
	// exposureShare is the part that a bad version may get.
	exposureShare = 0.1
)

// startRollouts starts a site on which roll-outs are ordered, with patient clients.
func startRollouts(t *testing.T) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	options := day.DefaultOptions()
	options.ExposureShare = exposureShare
	slowRoutes, classes := day.StandardRoutes(), day.StandardClasses(1)
	for index := range slowRoutes {
		slowRoutes[index].TimeoutMillis = uint32(time.Minute.Milliseconds())
	}
	for index := range classes {
		classes[index].Deadline = time.Minute
	}
	return startOptions(t, options, slowRoutes, classes)
}

// order orders the version while calls go on, starts its instances and returns them.
func order(t *testing.T, site *day.Site, tally *client.Tally, behaviour instance.Behaviour) []*instance.Instance {
	t.Helper()
	awaitServed(t, tally, 50)
	assert.NilError(t, site.Rollout(rolled, newer, rolloutTime))
	ordered := site.Store.Objects(platform.KindRollouts)[0].Metadata.Revision
	await(t, "a daemon hears of the order", func() bool { return site.Store.Told(platform.KindRollouts) >= ordered })
	// The others hear of it from that one.
	time.Sleep(day.DefaultOptions().ApplyBound)
	started, err := site.StartBeta(rolled, newer, behaviour)
	assert.NilError(t, err)
	return started
}

// awaitEnd waits until the store names an end of the order.
func awaitEnd(t *testing.T, site *day.Site, state string) {
	t.Helper()
	end := time.Now().Add(patience)
	for site.RolloutState(rolled) != state {
		assert.Assert(t, time.Now().Before(end), "it is %q and not %q", site.RolloutState(rolled), state)
		time.Sleep(10 * time.Millisecond)
	}
}

// received returns the requests that instances got.
func received(instances []*instance.Instance) (count int64) {
	for _, one := range instances {
		count += one.Received()
	}
	return count
}

// old returns the instances of the version before.
func old(site *day.Site) (instances []*instance.Instance) {
	for _, machine := range site.OfService(rolled) {
		instances = append(instances, machine.Instance())
	}
	return instances
}

// A good version gets all calls, and once the store says so the old instances end at
// once: no call is lost.
func TestGoodVersionIsCompleted(t *testing.T) {
	site, tally, stop := startRollouts(t)
	started := order(t, site, tally, instance.Behaviour{})
	awaitEnd(t, site, platform.RolloutCompleted)
	for _, instance := range old(site) {
		instance.Crash()
	}
	before := received(started)
	awaitServed(t, tally, 200)
	stop()
	assert.Assert(t, received(started) > before)
	assert.Equal(t, tally.Failed.Load(), int64(0))
	keepsPromises(t, site)
}

// A bad version gets no more than its share of the calls, and none once the store says
// that it is rolled back.
func TestBadVersionIsRolledBack(t *testing.T) {
	site, tally, stop := startRollouts(t)
	started := order(t, site, tally, instance.Behaviour{Fail: 0.5})
	before := received(old(site))
	awaitEnd(t, site, platform.RolloutRolledBack)
	exposed := received(started)
	assert.Assert(t, exposed > 0, "it was judged without a call")
	all := exposed + received(old(site)) - before
	// Half of the share is kept for the shift, which this version does not see; one call may
	// have arrived whose place was earned by calls still on their way.
	assert.Assert(t, float64(exposed) <= exposureShare/2*float64(all)+1, "%d of %d", exposed, all)
	// The daemons that do not write hear of the roll-back in the next words.
	time.Sleep(time.Second)
	exposed = received(started)
	awaitServed(t, tally, 200)
	stop()
	assert.Equal(t, received(started), exposed)
	keepsPromises(t, site)
}

// Daemons are killed one after the other, so that each of those that decide is: the
// order still comes to its end.
func TestRolloutOutlivesItsDeciders(t *testing.T) {
	site, tally, stop := startRollouts(t)
	started := order(t, site, tally, instance.Behaviour{})
	await(t, "the order is followed", func() bool { return site.RolloutState(rolled) == platform.RolloutRunning })
	for _, machine := range site.Machines[:4] {
		assert.NilError(t, machine.Kill(50*time.Millisecond))
		await(t, "it is back", func() bool { return machine.Ready(t.Context()) })
	}
	awaitEnd(t, site, platform.RolloutCompleted)
	before := received(started)
	awaitServed(t, tally, 100)
	stop()
	assert.Assert(t, received(started) > before)
	keepsPromises(t, site)
}

// Where roll-outs are switched off, orders of them are not read, and calls go to every
// version.
func TestRolloutsSwitchedOff(t *testing.T) {
	site, tally, stop := startOptions(t, day.ZonedOptions(), day.StandardRoutes(), day.StandardClasses(1))
	assert.NilError(t, site.Rollout(rolled, newer, rolloutTime))
	started, err := site.StartBeta(rolled, newer, instance.Behaviour{})
	assert.NilError(t, err)
	awaitServed(t, tally, 200)
	stop()
	assert.Assert(t, received(started) > 0)
	assert.Equal(t, site.Store.Told(platform.KindRollouts), uint64(0))
	assert.Equal(t, site.RolloutState(rolled), "")
	keepsPromises(t, site)
}
