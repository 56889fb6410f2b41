package day_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

const (
	// statedRate is well below the 20 to 33 requests per second that each instance of the site receives.
	statedRate = 5
	// limitLoad is the length of the load under a limit: the time after which it applies and two windows.
	// leavingLoad is that after an instance has stated that it leaves: several times the drain time.
	limitLoad   = 10 * time.Second
	leavingLoad = 4 * time.Second
)

// disruptions are the disruptions during which a statement of an instance holds. Each is repeated while
// the load runs; beside is the machine of the instance.
var disruptions = map[string]func(t *testing.T, site *day.Site, beside *day.Machine){
	"none": func(*testing.T, *day.Site, *day.Machine) { time.Sleep(time.Second) },
	"the daemon beside the instance is killed": func(t *testing.T, _ *day.Site, beside *day.Machine) {
		assert.Check(t, beside.Kill(50*time.Millisecond))
		time.Sleep(time.Second)
	},
	"the daemon beside the instance is stopped": func(t *testing.T, _ *day.Site, beside *day.Machine) {
		_, err := beside.RestartDaemon(50 * time.Millisecond)
		assert.Check(t, err)
		time.Sleep(time.Second)
	},
	"the store is silent and the daemon is killed": func(t *testing.T, site *day.Site, beside *day.Machine) {
		site.Store.SetFaults(objectstore.Faults{Silent: true})
		assert.Check(t, beside.Kill(50*time.Millisecond))
		time.Sleep(2 * time.Second)
		site.Store.SetFaults(objectstore.Faults{})
		time.Sleep(time.Second)
	},
}

// disrupt repeats a disruption for the length of a load.
func disrupt(t *testing.T, site *day.Site, load time.Duration, disruption func(*testing.T, *day.Site, *day.Machine)) {
	t.Helper()
	beside := site.Machines[0]
	for end := time.Now().Add(load); time.Now().Before(end); {
		disruption(t, site, beside)
	}
}

// statingInstances returns an instance that clients send requests to, and one that receives calls of other
// instances.
func statingInstances(site *day.Site) []*instance.Instance {
	return []*instance.Instance{site.Machines[0].Instance(), site.Machines[3].Instance()}
}

// Guards against instances that receive more requests than the rate that they state.
func TestInstanceReceivesNoMoreThanItsStatedRate(t *testing.T) {
	for name, disruption := range disruptions {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			ctx, end := context.WithCancel(t.Context())
			var stating sync.WaitGroup
			limited := statingInstances(site)
			for _, instance := range limited {
				stating.Go(func() { instance.StateRate(ctx, statedRate, waitTimeout) })
			}
			disrupt(t, site, limitLoad, disruption)
			end()
			stating.Wait()
			for _, instance := range limited {
				awaitReceived(t, tally, instance, instance.Received()+20)
			}
			stop()
			assertPromisesKept(t, site)
		})
	}
}

// awaitReceived waits until an instance has received the given number of requests in total.
func awaitReceived(t *testing.T, tally *client.Tally, reached *instance.Instance, total int64) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); reached.Received() < total; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d of %d received, %d served in all", reached.Received(), total, tally.Served.Load())
	}
}

// Guards against instances that receive requests after a daemon has passed on that they leave.
func TestInstanceThatStatesThatItLeavesReceivesNothing(t *testing.T) {
	for name, disruption := range disruptions {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			for _, instance := range statingInstances(site) {
				instance.SetStatement(promise.Statement{Leaving: true})
			}
			disrupt(t, site, leavingLoad, disruption)
			stop()
			assertPromisesKept(t, site)
		})
	}
}
