package day_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
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
