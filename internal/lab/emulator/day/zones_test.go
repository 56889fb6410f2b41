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
	// zone is the one that is disturbed below.
	zone = "a"
	// busy is the load, in standard ones, that is too much for cold instances.
	busy = 2
)

// startZoned starts the site with zones, regions and cold rates, and its load.
func startZoned(t *testing.T, factor float64) (site *day.Site, tally *client.Tally, stopLoad func()) {
	t.Helper()
	return startOptions(t, day.ZonedOptions(), day.ZonedRoutes(), day.ZonedClasses(factor))
}

// await waits until something has come.
func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	end := time.Now().Add(patience / 4)
	for !reached() {
		assert.Assert(t, time.Now().Before(end), "not reached: %s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

// evacuate gives the order and waits until the store reported it to a daemon.
func evacuate(t *testing.T, site *day.Site) {
	t.Helper()
	assert.NilError(t, site.Evacuate(zone))
	ordered := site.Store.Objects(platform.KindEvacuations)[0].Metadata.Revision
	await(t, "a daemon hears of the order", func() bool { return site.Store.ReportedRevision(platform.KindEvacuations) >= ordered })
}

// passBound waits until the order must be followed.
func passBound() { time.Sleep(day.ZonedOptions().EvacuationBound) }

// awaitUsed waits until each instance of the zone gets requests again.
func awaitUsed(t *testing.T, site *day.Site) {
	t.Helper()
	for _, machine := range site.InZone(zone) {
		before := machine.Instance().Received()
		await(t, "an instance of the zone is used again", func() bool { return machine.Instance().Received() > before })
	}
}

// stayUp checks that no instance crashed in slow start.
func stayUp(t *testing.T, site *day.Site) {
	t.Helper()
	coldCrashes, err := site.ColdCrashes()
	assert.NilError(t, err)
	assert.Equal(t, coldCrashes, 0)
}

// One daemon hears of the order, and then the store says nothing more: all the others
// follow it, and the zone is used again once the store is back and it is taken back.
func TestEvacuationWhileTheStoreIsSilent(t *testing.T) {
	site, tally, stop := startZoned(t, 1)
	awaitServed(t, tally, 50)
	evacuate(t, site)
	site.Store.SetFaults(objectstore.Faults{Silent: true})
	passBound()
	awaitServed(t, tally, 200)
	site.Store.SetFaults(objectstore.Faults{})
	site.EndEvacuation(zone)
	awaitUsed(t, site)
	stop()
	keepsPromises(t, site)
}

// A daemon of the evacuated zone that starts again does not use the zone's instances,
// nor does it make others use its own.
func TestEvacuationWhileADaemonOfTheZoneStartsAgain(t *testing.T) {
	const down = 50 * time.Millisecond
	for name, end := range map[string]func(*day.Machine) error{
		"killed": func(machine *day.Machine) error { return machine.Kill(down) },
		"stopped as planned": func(machine *day.Machine) error {
			_, err := machine.Roll(down)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := startZoned(t, 1)
			awaitServed(t, tally, 50)
			evacuate(t, site)
			passBound()
			machine := site.InZone(zone)[0]
			assert.NilError(t, end(machine))
			await(t, "the daemon is ready again", func() bool { return machine.Ready(context.Background()) })
			awaitServed(t, tally, 200)
			site.EndEvacuation(zone)
			awaitUsed(t, site)
			stop()
			keepsPromises(t, site)
		})
	}
}

// All instances of a zone come back cold amid traffic: none gets more than its limit, and each is
// used.
func TestZoneComesBackCold(t *testing.T) {
	for name, comeBack := range map[string]func(*testing.T, *day.Site){
		"after a crash": func(t *testing.T, site *day.Site) {
			assert.NilError(t, site.RestartZone(zone, 100*time.Millisecond))
		},
		"after an evacuation": func(t *testing.T, site *day.Site) {
			evacuate(t, site)
			passBound()
			site.MakeCold(zone)
			// Heartbeats tell all daemons.
			time.Sleep(2 * day.ZonedOptions().HeartbeatInterval)
			site.EndEvacuation(zone)
		},
	} {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := startZoned(t, busy)
			awaitServed(t, tally, 100)
			comeBack(t, site)
			awaitUsed(t, site)
			time.Sleep(day.ZonedOptions().ColdFor)
			awaitServed(t, tally, 100)
			stop()
			keepsPromises(t, site)
			stayUp(t, site)
		})
	}
}

// Half of the instances take one request at a time and never answer another one, nor
// anything further on its connection: the site serves on.
func TestInstancesThatHangWhenFull(t *testing.T) {
	site, tally, stop := startOptions(t, day.ZonedOptions(), day.StandardRoutes(), day.StandardClasses(busy))
	for index, machine := range site.Machines {
		if index%2 == 0 {
			machine.Instance().Set(instance.Behaviour{Capacity: 1, OnFull: instance.OnFullHang})
		}
	}
	awaitServed(t, tally, 400)
	stop()
	keepsPromises(t, site)
}

// Requests whose route names a region run in it alone, also while one of its zones is
// evacuated.
func TestRequestsStayInTheirRegion(t *testing.T) {
	site, tally, stop := startZoned(t, 1)
	awaitServed(t, tally, 200)
	evacuate(t, site)
	passBound()
	awaitServed(t, tally, 200)
	stop()
	keepsPromises(t, site)
}
