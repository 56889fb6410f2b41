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

// patience bounds waits for what must come; never is longer than any test lasts.
const (
	patience = time.Minute
	never    = time.Hour
)

// started is an instance with a stand-in for the daemon beside it.
type started struct {
	*instance.Instance
	ledger     *promise.Ledger
	heartbeats chan platform.Heartbeat
	crashes    chan *instance.Instance
}

// start starts an instance that options may change.
func start(t *testing.T, change func(*instance.Options)) *started {
	t.Helper()
	running := &started{
		ledger:     promise.NewLedger(promise.Bounds{MaxColdPerSecond: 3}),
		heartbeats: make(chan platform.Heartbeat, 1), crashes: make(chan *instance.Instance, 1),
	}
	beside := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var heartbeat platform.Heartbeat
		_ = json.NewDecoder(r.Body).Decode(&heartbeat)
		select {
		case <-running.heartbeats:
		default:
		}
		running.heartbeats <- heartbeat
	}))
	t.Cleanup(beside.Close)
	options := instance.Options{
		Service: "desk", Zone: "a", Region: "north", Address: "127.0.0.1:0", Host: "127.0.0.1",
		Registration: strings.TrimPrefix(beside.URL, "http://"),
		Slots:        1, Queue: 1, ServiceTime: time.Millisecond, HeartbeatInterval: 10 * time.Millisecond,
		ColdCrashed: func(crashed *instance.Instance) { running.crashes <- crashed }, Ledger: running.ledger, Seed: 1,
	}
	change(&options)
	var err error
	running.Instance, err = instance.Start(options)
	assert.NilError(t, err)
	t.Cleanup(running.Crash)
	return running
}

// awaitHeartbeat waits for a heartbeat that is as it is asked for.
func (s *started) awaitHeartbeat(t *testing.T, fits func(platform.Heartbeat) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for {
		select {
		case heartbeat := <-s.heartbeats:
			if fits(heartbeat) {
				return
			}
		case <-ctx.Done():
			t.Fatal("no such heartbeat came")
		}
	}
}

// coldRemaining asks for the instance's health.
func (s *started) coldRemaining(t *testing.T) time.Duration {
	t.Helper()
	response, err := http.Get("http://" + s.Address() + instance.PathHealth)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	millis, err := strconv.Atoi(response.Header.Get(platform.HeaderColdRemaining))
	assert.NilError(t, err)
	return time.Duration(millis) * time.Millisecond
}

// ask sends a request on a connection of its own.
func (s *started) ask(t *testing.T, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.askOn(t, conn, id)
	return conn
}

func (s *started) askOn(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	s.askFor(t, conn, id, s.ID())
}

// askFor sends a request that is meant for the instance of the given name.
func (s *started) askFor(t *testing.T, conn net.Conn, id, meantFor string) {
	t.Helper()
	s.ledger.Sent(promise.Request{ID: id, Safe: true, Services: map[string]bool{"desk": true}})
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n\r\n", platform.HeaderRequestID, id,
		platform.HeaderExpectedInstance, meantFor)
	assert.NilError(t, err)
}

// silent checks that nothing comes on a connection for a while.
func silent(t *testing.T, conn net.Conn) {
	t.Helper()
	const watched = 300 * time.Millisecond
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(watched)))
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	assert.Assert(t, errors.As(err, &netErr) && netErr.Timeout(), "%v", err)
}

// status reads the status of the next answer.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func TestColdInstanceSaysSo(t *testing.T) {
	for name, change := range map[string]func(*instance.Options){
		"after its start": func(options *instance.Options) { options.ColdFor = never },
		"on demand":       func(*instance.Options) {},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, change)
			if name == "on demand" {
				assert.Equal(t, running.coldRemaining(t), time.Duration(0))
				running.awaitHeartbeat(t, func(heartbeat platform.Heartbeat) bool { return heartbeat.Status.ColdRemainingMillis == 0 })
				running.MakeCold(never)
			}
			remaining := running.coldRemaining(t)
			assert.Assert(t, remaining > 0 && remaining <= never, "%s", remaining)
			running.awaitHeartbeat(t, func(heartbeat platform.Heartbeat) bool { return heartbeat.Status.ColdRemainingMillis > 0 })
		})
	}
}

// A cold instance that gets well above its rate in one second crashes, once; a warm one does not.
func TestColdInstanceCrashesAboveItsRate(t *testing.T) {
	const falls, rounds = 5, 100
	for name, row := range map[string]struct {
		coldFor time.Duration
		want    bool
	}{
		"cold": {coldFor: never, want: true},
		"warm": {},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, func(options *instance.Options) {
				options.ColdFor, options.CrashesAbove, options.Queue, options.Slots = row.coldFor, falls, rounds, rounds
			})
			var asked sync.WaitGroup
			conns := make([]net.Conn, 0, rounds)
			for index := range rounds {
				conns = append(conns, running.ask(t, fmt.Sprint("r", index)))
			}
			for _, conn := range conns {
				asked.Go(func() { assert.Check(t, status(t, conn) == http.StatusOK) })
			}
			asked.Wait()
			assert.Equal(t, len(running.ledger.Breaches()) > 0, row.want, "%+v", running.ledger.Breaches())
			if row.want {
				assert.Equal(t, <-running.crashes, running.Instance)
			}
			assert.Equal(t, len(running.crashes), 0)
		})
	}
}

// What is meant for another instance does not count.
func TestMisdirectedRequestsDoNotCount(t *testing.T) {
	running := start(t, func(options *instance.Options) { options.ColdFor, options.CrashesAbove = never, 1 })
	conn := running.ask(t, "first")
	assert.Equal(t, status(t, conn), http.StatusOK)
	for index := range 20 {
		running.askFor(t, conn, fmt.Sprint("r", index), "another")
		assert.Equal(t, status(t, conn), http.StatusMisdirectedRequest)
	}
	assert.Equal(t, running.Received(), int64(1))
	assert.Equal(t, len(running.crashes), 0)
	assert.Equal(t, len(running.ledger.Breaches()), 0, "%+v", running.ledger.Breaches())
}

// An instance that hangs when it is full answers what it has room for, and says
// nothing more on the connection of a request for which it has none.
func TestInstanceThatHangsWhenFull(t *testing.T) {
	// long is how long the slot is taken: the silence is watched for less.
	const long = 4 * time.Second
	for name, row := range map[string]struct {
		behaviour instance.Behaviour
		slots     int
		hangs     bool
	}{
		"refuses":                  {slots: 1},
		"hangs":                    {behaviour: instance.Behaviour{OnFull: instance.OnFullHang}, slots: 1, hangs: true},
		"refuses for want of room": {behaviour: instance.Behaviour{Capacity: 1}, slots: 9},
		"hangs for want of room":   {behaviour: instance.Behaviour{Capacity: 1, OnFull: instance.OnFullHang}, slots: 9, hangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			running := start(t, func(options *instance.Options) {
				options.ServiceTime, options.Slots, options.Queue = long, row.slots, 0
			})
			running.Set(row.behaviour)
			first := running.ask(t, "first")
			for running.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			second := running.ask(t, "second")
			if !row.hangs {
				assert.Equal(t, status(t, second), http.StatusServiceUnavailable)
				return
			}
			for running.Received() < 2 {
				time.Sleep(time.Millisecond)
			}
			silent(t, second)
			// What could be refused at once is not answered either.
			running.Set(instance.Behaviour{Capacity: row.behaviour.Capacity})
			running.askOn(t, second, "third")
			silent(t, second)
			assert.Equal(t, status(t, first), http.StatusOK)
		})
	}
}
