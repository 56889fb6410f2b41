package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an instance has begun to work on.
type run struct {
	id, instance string
	at           time.Time
	answered     bool
}

// instance is a stand-in of an application instance (PROTOCOL.md, Instances and Service discovery).
type instance struct {
	lab     *lab
	id      string
	service string
	machine *machine
	slots   int
	work    time.Duration
	// early is true if it rejects long requests before it has read them, and reads the rest afterwards.
	early bool

	server    *http.Server
	beating   atomic.Bool
	draining  atomic.Bool
	beatMutex sync.Mutex
	sequence  int
}

// start listens at the machine's application address.
func (i *instance) start() {
	listener := must(net.Listen("tcp", i.machine.appAddress))
	i.server = &http.Server{Handler: http.HandlerFunc(i.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(listener) }()
	i.lab.record("instance %s (%s) started at %s", i.id, i.service, i.machine.appAddress)
}

// end ends the instance without a word, as a crash or the end of a leaving one does: requests at work get
// no answer.
func (i *instance) end() {
	i.beating.Store(false)
	_ = i.server.Close()
	i.lab.record("instance %s ended", i.id)
}

func (i *instance) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lapisvane-Request-Id")
	if i.early && r.ContentLength > longRequest {
		i.rejectEarly(w, r, id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Lapisvane-Request-Id", id)
	if expected := r.Header.Get("Lapisvane-Expected-Instance"); expected != "" && expected != i.id {
		w.Header().Set("Lapisvane-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		i.lab.record("instance %s answered 421 to request %s, which expects %s", i.id, id, expected)
		return
	}
	began := i.lab.addRun(id, i.id)
	select {
	case <-time.After(i.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Lapisvane-Server-Stamp", "stamp."+i.id+"."+id)
	body := []byte("done by " + i.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, err := w.Write(body); err == nil {
		i.lab.markAnswered(began)
	}
}

// longRequest is the length in bytes above which a request counts as long.
const longRequest = 32 << 10

// rejectEarly answers a long request before its body is in, keeps the connection and reads the rest.
func (i *instance) rejectEarly(w http.ResponseWriter, r *http.Request, id string) {
	began := i.lab.addRun(id, i.id)
	_ = http.NewResponseController(w).EnableFullDuplex()
	body := []byte("rejected by " + i.id)
	w.Header().Set("Lapisvane-Request-Id", id)
	w.Header().Set("Lapisvane-Server-Stamp", "stamp."+i.id+"."+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusInternalServerError)
	_, _ = w.Write(body)
	if http.NewResponseController(w).Flush() == nil {
		i.lab.markAnswered(began)
	}
	_, _ = io.Copy(io.Discard, r.Body)
}

// beat returns the next heartbeat.
func (i *instance) beat() (sequence int, body []byte) {
	i.beatMutex.Lock()
	defer i.beatMutex.Unlock()
	i.sequence++
	state := "ready"
	if i.draining.Load() {
		state = "draining"
	}
	body = must(json.Marshal(map[string]any{
		"address": i.machine.appAddress,
		"info":    map[string]any{"service": i.service, "version": "v1", "zone": i.machine.zone, "slots": i.slots},
		"status":  map[string]any{"state": state, "call-sequence": i.sequence, "cold-remaining-ms": 0},
	}))
	return i.sequence, body
}

// keepBeating sends a heartbeat every 1.5 s until the instance ends or stops beating.
func (i *instance) keepBeating() {
	i.beating.Store(true)
	go func() {
		for i.beating.Load() {
			sequence, body := i.beat()
			status := i.send(http.MethodPut, body)
			if status/100 != 2 {
				i.lab.record("heartbeat %d of %s: no acknowledgement (%d)", sequence, i.id, status)
			}
			time.Sleep(heartbeatInterval)
		}
	}()
}

const heartbeatInterval = 1500 * time.Millisecond

// send sends one call to the control address of the machine's daemon and returns the status, 0 for none.
func (i *instance) send(method string, body []byte) int {
	request := must(http.NewRequest(method, "http://"+i.machine.control+"/instances/"+i.id, bytes.NewReader(body)))
	request.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// delayedBeat sends a heartbeat of now after a delay, as a link does that held it up. It is sent whether
// or not the instance still exists then.
func (i *instance) delayedBeat(delay time.Duration) {
	sequence, body := i.beat()
	sentAt := time.Now()
	i.lab.record("heartbeat %d (ready) of %s is sent and held up on its way", sequence, i.id)
	time.AfterFunc(delay, func() {
		status := i.send(http.MethodPut, body)
		i.lab.record("heartbeat %d (ready) of %s arrives %.1f s late: %d", sequence, i.id, time.Since(sentAt).Seconds(), status)
	})
}
