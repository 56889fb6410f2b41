package day

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// poisonTimeout is the deadline of a poison request.
const poisonTimeout = 2 * time.Second

// PoisonRequest is a request under which each instance that runs it crashes.
type PoisonRequest struct {
	Name, method, path string
	service            string
	safe               bool
	body               []byte
	// callPath is the path of a call that the instance makes while it runs the request. The call is
	// then the poison request.
	callPath string
}

// PoisonRequests returns one poison request of each kind, by name: a read, an order, an upload that is
// forwarded in parts, and a read whose instance makes a poison call.
func PoisonRequests() map[string]PoisonRequest {
	requests := map[string]PoisonRequest{}
	for _, request := range []PoisonRequest{
		{Name: "read", method: http.MethodGet, path: "/look/deadly", service: "desk", safe: true},
		{Name: "order", method: http.MethodPost, path: "/order/deadly", service: "desk", body: []byte("one of each")},
		{Name: "upload", method: http.MethodPost, path: "/file/deadly", service: "yard", body: bytes.Repeat([]byte("gerber "), 20_000)},
		{Name: "call", method: http.MethodGet, path: "/look/caller", service: "desk", safe: true, callPath: "/stock/deadly"},
	} {
		requests[request.Name] = request
	}
	return requests
}

// Send sends the request to a machine's daemon and returns the answer, nil for none. number makes the
// request id unique.
func (p PoisonRequest) Send(ctx context.Context, site *Site, machine *Machine, number int) *http.Response {
	id := fmt.Sprintf("deadly-%s-%d", p.Name, number)
	sent := promise.Request{ID: id, Safe: p.safe, BodyDigest: promise.DigestOf(p.body), Caller: machine.Service, SentAt: time.Now(), Services: map[string]bool{p.service: true}}
	site.Ledger.Sent(sent)
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, p.method, "http://"+machine.Caller()+p.path, bytes.NewReader(p.body))
	if err != nil {
		return nil
	}
	request.Host = standardHost
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, fmt.Sprint(poisonTimeout.Milliseconds()))
	if p.callPath == "" {
		request.Header.Set(instance.HeaderCrash, p.Name)
	} else {
		request.Header.Set(instance.HeaderCall, p.callPath)
		request.Header.Set(instance.HeaderCall+"-Service", "yard")
		request.Header.Set(instance.HeaderCall+"-Crash", p.Name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response
}
