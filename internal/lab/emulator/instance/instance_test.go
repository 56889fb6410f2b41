package instance_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// waitTimeout limits the wait for an expected event; forever is longer than any test.
const (
	waitTimeout = time.Minute
	forever     = time.Hour
)

// testInstance is a running instance with a fake daemon on its machine.
type testInstance struct {
	*instance.Instance
	ledger     *promise.Ledger
	heartbeats chan platform.Heartbeat
	crashes    chan *instance.Instance
}

// start starts an instance; configure may change its default options.
func start(t *testing.T, configure func(*instance.Options)) *testInstance {
	t.Helper()
	running := &testInstance{
		ledger:     promise.NewLedger(promise.Bounds{MaxColdPerSecond: 3}),
		heartbeats: make(chan platform.Heartbeat, 1), crashes: make(chan *instance.Instance, 1),
	}
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var heartbeat platform.Heartbeat
		_ = json.NewDecoder(r.Body).Decode(&heartbeat)
		select {
		case <-running.heartbeats:
		default:
		}
		running.heartbeats <- heartbeat
	}))
	t.Cleanup(daemon.Close)
	options := instance.Options{
		Service: "desk", Zone: "a", Region: "north", Address: "127.0.0.1:0", Host: "127.0.0.1",
		RegistrationAddress: strings.TrimPrefix(daemon.URL, "http://"),
		Slots:               1, QueueLength: 1, ServiceTime: time.Millisecond, HeartbeatInterval: 10 * time.Millisecond,
		OnColdCrash: func(crashed *instance.Instance) { running.crashes <- crashed }, Ledger: running.ledger, Seed: 1,
	}
	configure(&options)
	var err error
	running.Instance, err = instance.Start(options)
	assert.NilError(t, err)
	t.Cleanup(running.Crash)
	return running
}

// awaitHeartbeat waits for a heartbeat that matches.
func (s *testInstance) awaitHeartbeat(t *testing.T, matches func(platform.Heartbeat) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		select {
		case heartbeat := <-s.heartbeats:
			if matches(heartbeat) {
				return
			}
		case <-ctx.Done():
			t.Fatal("no matching heartbeat arrived")
		}
	}
}

// coldRemaining returns the remaining slow start that the instance's health check reports.
func (s *testInstance) coldRemaining(t *testing.T) time.Duration {
	t.Helper()
	response, err := http.Get("http://" + s.Address() + instance.PathHealth)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	millis, err := strconv.Atoi(response.Header.Get(platform.HeaderColdRemaining))
	assert.NilError(t, err)
	return time.Duration(millis) * time.Millisecond
}

// send sends a request on a new connection.
func (s *testInstance) send(t *testing.T, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.sendOn(t, conn, id)
	return conn
}

func (s *testInstance) sendOn(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	s.sendTo(t, conn, id, s.ID())
}

// sendTo sends a request that is addressed to the instance with the given id.
func (s *testInstance) sendTo(t *testing.T, conn net.Conn, id, instanceID string) {
	t.Helper()
	s.ledger.Sent(promise.Request{ID: id, Safe: true, Services: map[string]bool{"desk": true}})
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n\r\n", platform.HeaderRequestID, id,
		platform.HeaderExpectedInstance, instanceID)
	assert.NilError(t, err)
}

// assertSilent checks that no data arrives on a connection for 300 ms.
func assertSilent(t *testing.T, conn net.Conn) {
	t.Helper()
	const quietPeriod = 300 * time.Millisecond
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	assert.Assert(t, errors.As(err, &netErr) && netErr.Timeout(), "%v", err)
}

// status reads the next answer and returns its status.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// A cold instance reports its remaining slow start in health checks and heartbeats.
func TestColdInstanceReportsItsSlowStart(t *testing.T) {
	for name, configure := range map[string]func(*instance.Options){
		"after its start": func(options *instance.Options) { options.ColdDuration = forever },
		"on demand":       func(*instance.Options) {},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, configure)
			if name == "on demand" {
				assert.Equal(t, running.coldRemaining(t), time.Duration(0))
				running.awaitHeartbeat(t, func(heartbeat platform.Heartbeat) bool { return heartbeat.Status.ColdRemainingMillis == 0 })
				running.MakeCold(forever)
			}
			remaining := running.coldRemaining(t)
			assert.Assert(t, remaining > 0 && remaining <= forever, "%s", remaining)
			running.awaitHeartbeat(t, func(heartbeat platform.Heartbeat) bool { return heartbeat.Status.ColdRemainingMillis > 0 })
		})
	}
}

// A cold instance that receives far more than its rate in one second crashes once; a warm one does not
// crash.
func TestColdInstanceCrashesAboveItsRate(t *testing.T) {
	const crashRate, requests = 5, 100
	for name, row := range map[string]struct {
		coldFor time.Duration
		want    bool
	}{
		"cold": {coldFor: forever, want: true},
		"warm": {},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, func(options *instance.Options) {
				options.ColdDuration, options.ColdCrashRate, options.QueueLength, options.Slots = row.coldFor, crashRate, requests, requests
			})
			var answered sync.WaitGroup
			conns := make([]net.Conn, 0, requests)
			for index := range requests {
				conns = append(conns, running.send(t, fmt.Sprint("r", index)))
			}
			for _, conn := range conns {
				answered.Go(func() { assert.Check(t, status(t, conn) == http.StatusOK) })
			}
			answered.Wait()
			assert.Equal(t, len(running.ledger.Breaches()) > 0, row.want, "%+v", running.ledger.Breaches())
			if row.want {
				assert.Equal(t, <-running.crashes, running.Instance)
			}
			assert.Equal(t, len(running.crashes), 0)
		})
	}
}

// Requests addressed to another instance do not count towards the cold rate.
func TestMisdirectedRequestsDoNotCount(t *testing.T) {
	running := start(t, func(options *instance.Options) { options.ColdDuration, options.ColdCrashRate = forever, 1 })
	conn := running.send(t, "first")
	assert.Equal(t, status(t, conn), http.StatusOK)
	for index := range 20 {
		running.sendTo(t, conn, fmt.Sprint("r", index), "another")
		assert.Equal(t, status(t, conn), http.StatusMisdirectedRequest)
	}
	assert.Equal(t, running.Received(), int64(1))
	assert.Equal(t, len(running.crashes), 0)
	assert.Equal(t, len(running.ledger.Breaches()), 0, "%+v", running.ledger.Breaches())
}

// With OnFullHang an instance answers the requests within its capacity, and sends nothing more on the
// connection of a request beyond it.
func TestInstanceHangsAtCapacity(t *testing.T) {
	// serviceTime is the time for which the slot is occupied. It must exceed the two 300 ms periods in
	// which the test expects silence.
	const serviceTime = 4 * time.Second
	for name, row := range map[string]struct {
		behaviour instance.Behaviour
		slots     int
		hangs     bool
	}{
		"refuses":             {slots: 1},
		"hangs":               {behaviour: instance.Behaviour{OnFull: instance.OnFullHang}, slots: 1, hangs: true},
		"refuses at capacity": {behaviour: instance.Behaviour{Capacity: 1}, slots: 9},
		"hangs at capacity":   {behaviour: instance.Behaviour{Capacity: 1, OnFull: instance.OnFullHang}, slots: 9, hangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, func(options *instance.Options) {
				options.ServiceTime, options.Slots, options.QueueLength = serviceTime, row.slots, 0
			})
			running.Set(row.behaviour)
			first := running.send(t, "first")
			for running.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			second := running.send(t, "second")
			if !row.hangs {
				assert.Equal(t, status(t, second), http.StatusServiceUnavailable)
				return
			}
			for running.Received() < 2 {
				time.Sleep(time.Millisecond)
			}
			assertSilent(t, second)
			// A later request that would be refused is not answered either.
			running.Set(instance.Behaviour{Capacity: row.behaviour.Capacity})
			running.sendOn(t, second, "third")
			assertSilent(t, second)
			assert.Equal(t, status(t, first), http.StatusOK)
		})
	}
}
