package origin

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// crashRecorder is a CrashReporter that counts crashes like a registry, and records them.
type crashRecorder struct {
	*quarantine.Registry
	mutex   sync.Mutex
	crashes [][]quarantine.InFlight
}

func (r *crashRecorder) Crashed(_ string, id uint64, inFlight []quarantine.InFlight) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashes = append(r.crashes, inFlight)
	r.Registry.Crashed(id, inFlight)
}

func (r *crashRecorder) Answered(keys []fingerprint.Key) { r.Registry.Answered(keys) }

func (r *crashRecorder) recorded() [][]quarantine.InFlight {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crashes
}

// crashingBackend is an instance whose calls break off: a request for /end ends the instance with
// all its calls, and a request for /break closes its own connection only.
type crashingBackend struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	waiting  chan struct{}
}

func startCrashingBackend(t *testing.T) *crashingBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	started := &crashingBackend{listener: listener, waiting: make(chan struct{}, 8)}
	go started.accept()
	t.Cleanup(started.end)
	return started
}

func (b *crashingBackend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mutex.Lock()
		b.conns = append(b.conns, conn)
		b.mutex.Unlock()
		go b.serve(conn)
	}
}

func (b *crashingBackend) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/end":
		b.end()
	case "/break":
		_ = conn.Close()
	case "/early", "/answer":
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	default:
		b.waiting <- struct{}{}
	}
}

func (b *crashingBackend) end() {
	_ = b.listener.Close()
	b.breakAll()
}

// breakAll closes all connections, while the port still accepts others.
func (b *crashingBackend) breakAll() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, conn := range b.conns {
		_ = conn.Close()
	}
}

// sendCall sends a call to the instance and returns its error.
func sendCall(origin *Origin, path string) error { return sendCallTo(origin, "desk", "desk-1", path) }

func sendCallTo(origin *Origin, service, instance, path string) error {
	answer, err := origin.Handle(context.Background(), &callapi.Call{Open: &lapisv1.CallOpen{
		Service: service, Instance: instance, Method: http.MethodGet, Target: path, Host: "a.example",
		AttemptId: path + time.Now().String(), CallerService: "shop",
	}})
	if err == nil {
		_ = answer.Body.Close()
	}
	return err
}

func newOriginWithCrashingBackend(t *testing.T) (*crashingBackend, *Origin, *crashRecorder) {
	t.Helper()
	instance := startCrashingBackend(t)
	crashes := &crashRecorder{Registry: quarantine.NewRegistry(time.Now)}
	origin := New(Config{
		Backends: []BackendConfig{{Service: "desk", Instance: "desk-1", Address: instance.listener.Addr().String()}}, Crashes: crashes,
		QueueLength: 10, QueueTime: time.Second,
	})
	return instance, origin, crashes
}

// If an instance crashes, all its calls fail with CallInstanceCrashed and are reported with the
// crash.
func TestCrashOfAnInstanceIsNoticed(t *testing.T) {
	instance, origin, crashes := newOriginWithCrashingBackend(t)
	concurrent := make(chan error, 1)
	go func() { concurrent <- sendCall(origin, "/wait") }()
	<-instance.waiting
	for _, err := range []error{sendCall(origin, "/end"), <-concurrent} {
		var ended *result.Error
		assert.Assert(t, errors.As(err, &ended))
		assert.Equal(t, ended.Code, result.CallInstanceCrashed)
		assert.Equal(t, ended.Crashes, 1)
		assert.Equal(t, callapi.OutcomeOf(err), callapi.OutcomeUnknown)
	}
	seen := crashes.recorded()
	assert.Equal(t, len(seen), 1)
	assert.Equal(t, len(seen[0]), 2)
	for _, call := range seen[0] {
		assert.Equal(t, call.Caller, "shop")
	}
}

// A call that breaks off alone is not a crash, with or without other calls in flight.
func TestBrokenCallIsNotACrash(t *testing.T) {
	instance, origin, crashes := newOriginWithCrashingBackend(t)
	assert.Assert(t, result.Is(sendCall(origin, "/break"), result.CallUnknownOutcome))
	go func() { _ = sendCall(origin, "/wait") }()
	<-instance.waiting
	assert.Assert(t, result.Is(sendCall(origin, "/break"), result.CallUnknownOutcome))
	assert.Equal(t, len(crashes.recorded()), 0)
}

// A crash after the callers have given up is reported with their calls: the next call finds that
// the port refuses connections.
func TestCrashAfterTheCallsWereGivenUp(t *testing.T) {
	instance, origin, crashes := newOriginWithCrashingBackend(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := origin.Handle(ctx, &callapi.Call{Open: &lapisv1.CallOpen{
			Service: "desk", Instance: "desk-1", Method: http.MethodGet, Target: "/wait", Host: "a.example",
			AttemptId: "given up", CallerService: "shop",
		}})
		ended <- err
	}()
	<-instance.waiting
	cancel()
	assert.Assert(t, result.Is(<-ended, result.CallCancelled))
	assert.Equal(t, len(crashes.recorded()), 0)
	instance.end()
	for range 2 {
		assert.Assert(t, result.Is(sendCall(origin, "/wait"), result.CallNotRunUnreachable))
	}
	seen := crashes.recorded()
	assert.Equal(t, len(seen), 1, "a crash is reported once")
	assert.Equal(t, len(seen[0]), 1)
	line := fingerprint.RequestLine{Method: http.MethodGet, Host: "a.example", Target: "/wait"}
	assert.DeepEqual(t, seen[0][0].Keys, fingerprint.Of(line, nil).Whole())
}

// Guards against crashes that are not counted because the next process listens at the port before the
// daemon has noticed that the calls broke off.
func TestCrashIsNoticedThoughTheNextProcessListens(t *testing.T) {
	for name, row := range map[string]struct {
		steps         []string
		startUnstated bool
		crashes       int
	}{
		"the call breaks, the next one registers":         {steps: []string{"break", "next"}, crashes: 1},
		"the next one registers, the call breaks":         {steps: []string{"next", "break"}, crashes: 1},
		"the next one registers, and sends a heartbeat":   {steps: []string{"break", "next", "next"}, crashes: 1},
		"the first heartbeat of the next one is late":     {steps: []string{"break", "delay", "next"}, crashes: 1},
		"no starts are stated":                            {steps: []string{"break", "next"}, startUnstated: true, crashes: 0},
		"no starts are stated, the next one is confirmed": {steps: []string{"break", "next", "next"}, startUnstated: true, crashes: 1},
		"it said that it leaves":                          {steps: []string{"leave", "break", "next"}, crashes: 0},
		"it sends a heartbeat again":                      {steps: []string{"break", "present"}, crashes: 0},
		"the next one is at another address":              {steps: []string{"break", "elsewhere"}, crashes: 0},
		"nothing broke":                                   {steps: []string{"next"}, crashes: 0},
	} {
		t.Run(name, func(t *testing.T) {
			backend, origin, crashes := newOriginWithCrashingBackend(t)
			address, sequences := backend.listener.Addr().String(), map[string]uint64{}
			beat := func(id, address string, startMillis uint64, draining bool) (name string) {
				sequences[id]++
				sent := Registration{Service: "yard", Instance: id, Address: address, Slots: 2, Sequence: sequences[id], Draining: draining}
				if !row.startUnstated {
					sent.StartUnixMillis = startMillis
				}
				origin.Register(sent)
				return sent.incarnation().Name()
			}
			crashing := beat("yard-1", address, 1000, false)
			ended := make(chan error, 1)
			go func() { ended <- sendCallTo(origin, "yard", crashing, "/wait") }()
			<-backend.waiting
			for _, step := range row.steps {
				switch step {
				case "break":
					backend.breakAll()
					assert.Equal(t, callapi.OutcomeOf(<-ended), callapi.OutcomeUnknown)
				case "delay":
					time.Sleep(recentCallWindow + 100*time.Millisecond)
				case "present":
					beat("yard-1", address, 1000, false)
				case "leave":
					beat("yard-1", address, 1000, true)
				case "next":
					beat("yard-2", address, 2000, false)
				case "elsewhere":
					beat("yard-2", "127.0.0.1:1", 2000, false)
				}
			}
			assert.Equal(t, len(crashes.recorded()), row.crashes)
		})
	}
}
