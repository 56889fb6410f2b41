package day_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/platform"
)

const (
	// zone is the zone that the tests evacuate or restart.
	zone = "a"
	// overload is the load that exceeds the capacity of cold instances, as a multiple of the standard
	// load.
	overload = 2
)

// startZoned starts a zoned site and its load, at factor times the standard rate.
func startZoned(t *testing.T, factor float64) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	return startOptions(t, day.ZonedOptions(), day.ZonedRoutes(), day.ZonedClasses(factor))
}

// await waits until a condition is reached.
func await(t *testing.T, condition string, reached func() bool) {
	t.Helper()
	end := time.Now().Add(waitTimeout / 4)
	for !reached() {
		assert.Assert(t, time.Now().Before(end), "not reached: %s", condition)
		time.Sleep(5 * time.Millisecond)
	}
}

// evacuate orders the evacuation of the zone and waits until a daemon has received the order.
func evacuate(t *testing.T, site *day.Site) {
	t.Helper()
	assert.NilError(t, site.Evacuate(zone))
	ordered := site.Store.Objects(platform.KindEvacuations)[0].Metadata.Revision
	await(t, "a daemon receives the order", func() bool { return site.Store.ReportedRevision(platform.KindEvacuations) >= ordered })
}

// waitEvacuationBound waits until daemons must follow the order.
func waitEvacuationBound() { time.Sleep(day.ZonedOptions().EvacuationBound) }

// awaitUsed waits until each instance of the zone receives requests again.
func awaitUsed(t *testing.T, site *day.Site) {
	t.Helper()
	for _, machine := range site.InZone(zone) {
		before := machine.Instance().Received()
		await(t, "an instance of the zone is used again", func() bool { return machine.Instance().Received() > before })
	}
}

// assertNoColdCrash checks that no instance crashed in slow start.
func assertNoColdCrash(t *testing.T, site *day.Site) {
	t.Helper()
	coldCrashes, err := site.ColdCrashes()
	assert.NilError(t, err)
	assert.Equal(t, coldCrashes, 0)
}

// If the store stops answering after one daemon has received the order, all other daemons follow it too.
// The zone is used again after the store is back and the order is withdrawn.
func TestEvacuationWhileTheStoreIsSilent(t *testing.T) {
	site, tally, stop := startZoned(t, 1)
	awaitServed(t, tally, 50)
	evacuate(t, site)
	site.Store.SetFaults(objectstore.Faults{Silent: true})
	waitEvacuationBound()
	awaitServed(t, tally, 200)
	site.Store.SetFaults(objectstore.Faults{})
	site.EndEvacuation(zone)
	awaitUsed(t, site)
	stop()
	assertPromisesKept(t, site)
}

// A daemon in the evacuated zone that restarts neither uses the zone's instances nor makes other daemons
// use its own.
func TestEvacuationWhileADaemonOfTheZoneStartsAgain(t *testing.T) {
	const down = 50 * time.Millisecond
	for name, end := range map[string]func(*day.Machine) error{
		"killed": func(machine *day.Machine) error { return machine.Kill(down) },
		"stopped as planned": func(machine *day.Machine) error {
			_, err := machine.RestartDaemon(down)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := startZoned(t, 1)
			awaitServed(t, tally, 50)
			evacuate(t, site)
			waitEvacuationBound()
			machine := site.InZone(zone)[0]
			assert.NilError(t, end(machine))
			await(t, "the daemon is ready again", func() bool { return machine.Ready(context.Background()) })
			awaitServed(t, tally, 200)
			site.EndEvacuation(zone)
			awaitUsed(t, site)
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// If all instances of a zone return cold under load, each receives requests, but none more than its
// limit.
func TestZoneComesBackCold(t *testing.T) {
	for name, comeBack := range map[string]func(*testing.T, *day.Site){
		"after a crash": func(t *testing.T, site *day.Site) {
			assert.NilError(t, site.RestartZone(zone, 100*time.Millisecond))
		},
		"after an evacuation": func(t *testing.T, site *day.Site) {
			evacuate(t, site)
			waitEvacuationBound()
			site.MakeCold(zone)
			// All daemons learn of the slow start through heartbeats.
			time.Sleep(2 * day.ZonedOptions().HeartbeatInterval)
			site.EndEvacuation(zone)
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := startZoned(t, overload)
			awaitServed(t, tally, 100)
			comeBack(t, site)
			awaitUsed(t, site)
			time.Sleep(day.ZonedOptions().ColdDuration)
			awaitServed(t, tally, 100)
			stop()
			assertPromisesKept(t, site)
			assertNoColdCrash(t, site)
		})
	}
}

// The site continues to serve requests if half of the instances accept one request at a time, and hang
// the connection of any further one.
func TestInstancesThatHangAtCapacity(t *testing.T) {
	site, tally, stop := startOptions(t, day.ZonedOptions(), day.StandardRoutes(), day.StandardClasses(overload))
	for index, machine := range site.Machines {
		if index%2 == 0 {
			machine.Instance().Set(instance.Behaviour{Capacity: 1, OnFull: instance.OnFullHang})
		}
	}
	awaitServed(t, tally, 400)
	stop()
	assertPromisesKept(t, site)
}

// Requests of a route that is restricted to a region run only there, also while one of the region's
// zones is evacuated.
func TestRequestsStayInTheirRegion(t *testing.T) {
	site, tally, stop := startZoned(t, 1)
	awaitServed(t, tally, 200)
	evacuate(t, site)
	waitEvacuationBound()
	awaitServed(t, tally, 200)
	stop()
	assertPromisesKept(t, site)
}
