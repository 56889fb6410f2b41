package day_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/platform"
)

var poisonRequests = day.PoisonRequests()

// sendAll sends the request so often, to one daemon after the other, with a pause after
// each in which instances come back.
func sendAll(t *testing.T, site *day.Site, poison day.PoisonRequest, first, count int) (last *http.Response) {
	t.Helper()
	for number := range count {
		last = poison.Send(t.Context(), site, site.Machines[number%len(site.Machines)], first+number)
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

// A request that ends each instance which runs it comes again and again, at any daemon.
// Once three instances have ended it reaches hardly any more.
func TestRequestThatEndsInstancesIsStopped(t *testing.T) {
	for name, poison := range poisonRequests {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			awaitServed(t, tally, 50)
			sendAll(t, site, poison, 0, 24)
			stop()
			assert.Assert(t, site.Ledger.CrashesUnder(name) >= 1)
			keepsPromises(t, site)
		})
	}
}

// Once it is known, it stays so past the end of all daemons at once, and is refused at
// once with the time after which it may come back.
func TestWhatEndsInstancesIsRememberedPastAllDaemons(t *testing.T) {
	site, tally, stop := start(t)
	poison := poisonRequests["read"]
	awaitServed(t, tally, 50)
	sent := sendUntilStored(t, site, poison)
	killAll(t, site)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	awaitServed(t, tally, 50)
	awaitQuarantined(t, site)
	ended := site.Ledger.CrashesUnder("read")
	last := sendAll(t, site, poison, sent, 12)
	stop()
	assert.Equal(t, site.Ledger.CrashesUnder("read"), ended)
	assert.Equal(t, last.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, last.Header.Get("Retry-After") != "")
	keepsPromises(t, site)
}

// sendUntilStored sends the request to one daemon after the other until the store has what ended three
// instances, with a request of each calling service among them: it is quarantined for those alone, and
// an overloaded daemon refuses it before any instance gets it. It returns how often it was sent.
func sendUntilStored(t *testing.T, site *day.Site, poison day.PoisonRequest) (sent int) {
	t.Helper()
	adapter := platform.New(site.Store.Address(), logr.Discard())
	defer adapter.Close()
	services := map[string]bool{}
	for _, machine := range site.Machines {
		services[machine.Service] = true
	}
	for end := time.Now().Add(patience); time.Now().Before(end); {
		sendAll(t, site, poison, sent, len(site.Machines))
		sent += len(site.Machines)
		records, err := adapter.Quarantine().Load(t.Context())
		stored := err == nil && slices.ContainsFunc(records, func(record quarantine.Record) bool {
			return record.Count() >= 3 && len(callersOf(record)) == len(services)
		})
		if stored {
			return sent
		}
	}
	t.Fatal("three ends with each calling service among them are not stored")
	return sent
}

// callersOf returns the services that had a request in flight when an instance ended.
func callersOf(record quarantine.Record) map[string]bool {
	callers := map[string]bool{}
	for _, crash := range record.Crashes {
		callers[crash.Caller] = true
	}
	return callers
}

// awaitQuarantined waits until all daemons hold it back.
func awaitQuarantined(t *testing.T, site *day.Site) {
	t.Helper()
	await(t, "all daemons hold it back", func() bool {
		return !slices.ContainsFunc(site.Machines, func(machine *day.Machine) bool { return machine.Daemon().Quarantined() == 0 })
	})
}

// killAll ends all daemons at the same moment and starts them again.
func killAll(t *testing.T, site *day.Site) {
	t.Helper()
	var killing sync.WaitGroup
	for _, machine := range site.Machines {
		killing.Go(func() { assert.Check(t, machine.Kill(100*time.Millisecond)) })
	}
	killing.Wait()
	site.Ledger.DaemonsDisturbed(time.Now())
}

// All requests of a class ask for the same, and some are in flight whenever an instance
// ends; they are answered elsewhere, and go on being served.
func TestOthersAreServedBesideWhatEndsInstances(t *testing.T) {
	site, tally, stop := start(t)
	poison := poisonRequests["read"]
	awaitServed(t, tally, 50)
	for number := range 4 {
		poison.Send(t.Context(), site, site.Machines[number%len(site.Machines)], number)
		site.Ledger.DaemonsDisturbed(time.Now())
	}
	awaitServed(t, tally, 300)
	for _, machine := range site.Machines {
		beside := machine.Daemon().Quarantined()
		assert.Assert(t, beside <= 1, "%s holds %d back", machine.Name, beside)
	}
	stop()
	keepsPromises(t, site)
}
