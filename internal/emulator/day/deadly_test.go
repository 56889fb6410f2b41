package day_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/emulator/day"
	"github.com/lapisvane/lapisvane/internal/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// deadlyRequest is what ends each instance that runs it.
type deadlyRequest struct {
	name, method, path string
	services           []string
	safe               bool
	body               []byte
	// callPath makes the instance that runs it call what is deadly itself.
	callPath string
}

// long is a body that is passed on in pieces.
var long = bytes.Repeat([]byte("gerber "), 20_000)

var deadlyRequests = map[string]deadlyRequest{
	"read":   {method: http.MethodGet, path: "/look/deadly", services: []string{"desk"}, safe: true},
	"order":  {method: http.MethodPost, path: "/order/deadly", services: []string{"desk"}, body: []byte("one of each")},
	"upload": {method: http.MethodPost, path: "/file/deadly", services: []string{"yard"}, body: long},
	"call":   {method: http.MethodGet, path: "/look/caller", services: []string{"desk"}, safe: true, callPath: "/stock/deadly"},
}

// visit sends the request to a machine's daemon and returns the answer, nil for none.
func (d deadlyRequest) visit(t *testing.T, site *day.Site, machine *day.Machine, number int) *http.Response {
	t.Helper()
	const wait = 2 * time.Second
	id := fmt.Sprintf("deadly-%s-%d", d.name, number)
	sent := promise.Request{ID: id, Safe: d.safe, Caller: machine.Service, SentAt: time.Now(), Services: map[string]bool{}}
	for _, service := range d.services {
		sent.Services[service] = true
	}
	if len(d.body) > 0 {
		sum := sha256.Sum256(d.body)
		sent.BodyDigest = hex.EncodeToString(sum[:])
	}
	site.Ledger.Sent(sent)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, d.method, "http://"+machine.Caller()+d.path, bytes.NewReader(d.body))
	assert.NilError(t, err)
	request.Host = "shop.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, "2000")
	if d.callPath == "" {
		request.Header.Set(instance.HeaderCrash, d.name)
	} else {
		request.Header.Set(instance.HeaderCall, d.callPath)
		request.Header.Set(instance.HeaderCall+"-Service", "yard")
		request.Header.Set(instance.HeaderCall+"-Crash", d.name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response
}

// visitAll sends the request so often, to one daemon after the other, with a pause after
// each in which instances come back.
func (d deadlyRequest) visitAll(t *testing.T, site *day.Site, first, count int) (last *http.Response) {
	t.Helper()
	for number := range count {
		last = d.visit(t, site, site.Machines[number%len(site.Machines)], first+number)
		time.Sleep(300 * time.Millisecond)
	}
	return last
}

// A request that ends each instance which runs it comes again and again, at any daemon.
// Once three instances have ended it reaches hardly any more.
func TestRequestThatEndsInstancesIsStopped(t *testing.T) {
	for name, deadly := range deadlyRequests {
		t.Run(name, func(t *testing.T) {
			site, tally, stop := start(t)
			deadly.name = name
			awaitServed(t, tally, 50)
			deadly.visitAll(t, site, 0, 24)
			stop()
			assert.Assert(t, site.Ledger.EndedUnder(name) >= 1)
			keepsPromises(t, site)
		})
	}
}

// Once it is known, it stays so past the end of all daemons at once, and is refused at
// once with the time after which it may come back.
func TestWhatEndsInstancesIsRememberedPastAllDaemons(t *testing.T) {
	site, tally, stop := start(t)
	deadly := deadlyRequests["read"]
	deadly.name = "read"
	awaitServed(t, tally, 50)
	deadly.visitAll(t, site, 0, 6)
	awaitStored(t, site)
	killAll(t, site)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, site.AwaitReady(ctx))
	awaitServed(t, tally, 50)
	time.Sleep(day.DefaultOptions().Contact)
	ended := site.Ledger.EndedUnder("read")
	last := deadly.visitAll(t, site, 100, 12)
	stop()
	assert.Equal(t, site.Ledger.EndedUnder("read"), ended)
	assert.Equal(t, last.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, last.Header.Get("Retry-After") != "")
	keepsPromises(t, site)
}

// awaitStored waits until the store has what ends instances.
func awaitStored(t *testing.T, site *day.Site) {
	t.Helper()
	end := time.Now().Add(patience)
	for len(site.Store.Objects(platform.KindQuarantine)) == 0 {
		assert.Assert(t, time.Now().Before(end), "nothing was stored")
		time.Sleep(10 * time.Millisecond)
	}
}

// killAll ends all daemons at the same moment and starts them again.
func killAll(t *testing.T, site *day.Site) {
	t.Helper()
	var killing sync.WaitGroup
	for _, machine := range site.Machines {
		killing.Go(func() { assert.Check(t, machine.Kill(100*time.Millisecond)) })
	}
	killing.Wait()
	site.Ledger.Disturbed(time.Now())
}

// All requests of a class ask for the same, and some are in flight whenever an instance
// ends; they are answered elsewhere, and go on being served.
func TestOthersAreServedBesideWhatEndsInstances(t *testing.T) {
	site, tally, stop := start(t)
	deadly := deadlyRequests["read"]
	deadly.name = "read"
	awaitServed(t, tally, 50)
	for visit := range 4 {
		deadly.visit(t, site, site.Machines[visit%len(site.Machines)], visit)
		site.Ledger.Disturbed(time.Now())
	}
	awaitServed(t, tally, 300)
	for _, machine := range site.Machines {
		beside := machine.Daemon().HeldBack()
		assert.Assert(t, beside <= 1, "%s holds %d back", machine.Name, beside)
	}
	stop()
	keepsPromises(t, site)
}
