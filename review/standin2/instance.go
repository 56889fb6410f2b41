package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one run of a request at an instance.
type run struct {
	instance, service string
	at                time.Time
	body              int
}

// ledger holds what the instances received and ran, by the id of the request.
type ledger struct {
	mutex sync.Mutex
	runs  map[string][]run
}

func newLedger() *ledger { return &ledger{runs: map[string][]run{}} }

func (l *ledger) ran(id string, r run) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], r)
	return len(l.runs[id])
}

func (l *ledger) of(id string) []run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]run(nil), l.runs[id]...)
}

// incoming is a request at an instance.
type incoming struct {
	instance *instance
	conn     net.Conn
	request  *http.Request
	id       string
	body     []byte
	stamp    string
}

// instance is an application instance beside a daemon.
type instance struct {
	machine  *machine
	id       string
	slots    chan struct{}
	waiting  atomic.Int64
	sequence atomic.Uint64
	draining atomic.Bool
	stopped  chan struct{}
	stopOnce sync.Once
	listener net.Listener
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	// work is the mean time that a request runs.
	work  time.Duration
	count atomic.Uint64
	// respond writes an answer in place of the usual one and reports whether the connection may be kept; nil for none.
	respond func(in incoming) (handled, keep bool)
	// began is called as a request begins to run.
	began func(in incoming)
	// arrived is called as the head of a request has arrived.
	arrived func(id string, request *http.Request)
}

const queueLength = 24

var instanceNumber atomic.Int64

// startInstance starts an instance beside a daemon and its heartbeats.
func (m *machine) startInstance(slots int, work time.Duration) *instance {
	listener, err := net.Listen("tcp", m.at(portApp))
	check(err)
	i := &instance{
		machine: m, id: fmt.Sprintf("i-%08x", 0x1000+instanceNumber.Add(1)), slots: make(chan struct{}, slots),
		stopped: make(chan struct{}), listener: listener, conns: map[net.Conn]bool{}, work: work,
	}
	go i.accept()
	return i
}

func (i *instance) beats() {
	for {
		if !i.draining.Load() {
			_ = i.beat("ready")
		}
		select {
		case <-i.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// beat sends one heartbeat.
func (i *instance) beat(state string) error { return i.beatLate(state, 0) }

// beatLate sends one heartbeat that arrives late.
func (i *instance) beatLate(state string, late time.Duration) error {
	body, _ := json.Marshal(map[string]any{
		"address": i.listener.Addr().String(),
		"info":    map[string]any{"service": i.machine.service, "version": "v1", "zone": i.machine.zone, "slots": cap(i.slots)},
		"status":  map[string]any{"state": state, "call-sequence": i.sequence.Add(1), "cold-remaining-ms": 0},
	})
	time.Sleep(late)
	return i.tell(http.MethodPut, body)
}

func (i *instance) tell(method string, body []byte) error {
	client := http.Client{Timeout: time.Second}
	request, err := http.NewRequest(method, "http://"+i.machine.at(portControl)+"/instances/"+i.id, bytes.NewReader(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// crash ends the instance without a word.
func (i *instance) crash() {
	i.stopOnce.Do(func() {
		close(i.stopped)
		_ = i.listener.Close()
		i.mutex.Lock()
		defer i.mutex.Unlock()
		for conn := range i.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	})
}

func (i *instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mutex.Lock()
		i.conns[conn] = true
		i.mutex.Unlock()
		go func() {
			i.serve(conn)
			_ = conn.Close()
			i.mutex.Lock()
			delete(i.conns, conn)
			i.mutex.Unlock()
		}()
	}
}

func (i *instance) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if i.arrived != nil {
			i.arrived(request.Header.Get("Lapisvane-Request-Id"), request)
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !i.handle(conn, request, body) {
			return
		}
	}
}

// handle serves one request and reports whether the connection may be kept.
func (i *instance) handle(conn net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("Lapisvane-Request-Id")
	if request.URL.Path == "/health" {
		return write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nLapisvane-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id))
	}
	if expected := request.Header.Get("Lapisvane-Expected-Instance"); expected != "" && expected != i.id {
		return write(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nLapisvane-Request-Id: %s\r\nLapisvane-Instance-Id: %s\r\nLapisvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, i.id))
	}
	if !i.take() {
		return write(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nLapisvane-Request-Id: %s\r\nLapisvane-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id))
	}
	defer func() { <-i.slots }()
	number := i.count.Add(1)
	runs := i.machine.site.ledger.ran(id, run{i.id, i.machine.service, time.Now(), len(body)})
	i.machine.site.record.line("ran %s at %s, run %d, body %d", id, i.id, runs, len(body))
	in := incoming{instance: i, conn: conn, request: request, id: id, body: body, stamp: fmt.Sprintf("%s.%s.%d", i.id, id, number)}
	if i.began != nil {
		i.began(in)
	}
	time.Sleep(time.Duration((0.7 + 0.6*rand.Float64()) * float64(i.work)))
	if i.respond != nil {
		if handled, keep := i.respond(in); handled {
			return keep
		}
	}
	content := answerBody(in.stamp, 600)
	return write(conn, in.head(200)+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(content))+content)
}

// take waits for a slot; it fails if the queue is full.
func (i *instance) take() bool {
	select {
	case i.slots <- struct{}{}:
		return true
	default:
	}
	if i.waiting.Add(1) > queueLength {
		i.waiting.Add(-1)
		return false
	}
	defer i.waiting.Add(-1)
	i.slots <- struct{}{}
	return true
}

// head returns the head of an answer without its length.
func (in incoming) head(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nLapisvane-Request-Id: %s\r\nLapisvane-Server-Stamp: %s\r\nLapisvane-Server-Load: %d,%d,%d\r\n",
		status, http.StatusText(status), in.id, in.stamp, len(in.instance.slots), in.instance.waiting.Load(), cap(in.instance.slots))
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// answerBody returns the body of an answer: its stamp, repeated.
func answerBody(stamp string, size int) string {
	content := make([]byte, size)
	for index := range content {
		content[index] = stamp[index%len(stamp)]
	}
	return string(content)
}
