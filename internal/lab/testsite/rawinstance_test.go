package testsite_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
)

// respondFunc answers one request on conn, whose body is still unread, and reports whether the connection may be
// used again.
type respondFunc func(conn *net.TCPConn, request *http.Request) (keep bool)

// rawInstance is an instance whose answers a test writes byte by byte.
type rawInstance struct {
	listener net.Listener
	respond  atomic.Pointer[respondFunc]
	// runs counts the received requests.
	runs atomic.Int64
}

// startRawInstance starts an instance that answers nothing until respond is set.
func startRawInstance(t *testing.T) *rawInstance {
	t.Helper()
	listener, err := net.Listen("tcp", testsite.Loopback)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	raw := &rawInstance{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go raw.serve(conn.(*net.TCPConn))
		}
	}()
	return raw
}

func (r *rawInstance) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		r.runs.Add(1)
		if respond := r.respond.Load(); respond == nil || !(*respond)(conn, request) {
			return
		}
	}
}

func (r *rawInstance) set(respond respondFunc) { r.respond.Store(&respond) }

// hops are the daemons of a raw site: a call from "beside" reaches the instance directly, one from "edge" through
// another daemon.
var hops = []string{"beside", "edge"}

// startRawSite starts a site with one instance and the daemons of hops.
func startRawSite(t *testing.T) (*testsite.Site, *rawInstance) {
	t.Helper()
	raw := startRawInstance(t)
	profile := testsite.Swancycle()
	site, err := testsite.NewSite(profile, logr.Discard())
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	_, err = site.StartDaemonBeside("beside", profile.Zones[0], settings.Backend{Service: "desk", Instance: "desk-1", Address: raw.listener.Addr().String()})
	assert.NilError(t, err)
	_, err = site.StartDaemon("edge", profile.Zones[1], []string{"*"})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), convergenceTimeout)
	defer cancel()
	revision, err := site.Accept(ctx, "routes", meshconfig.File{
		Pools: []meshconfig.PoolFile{{Name: "desk", Group: "riders", Slots: 100, ConnectionLimit: 130}},
		Routes: []meshconfig.RouteFile{
			{Name: "lookup", Group: "riders", Pool: "desk", PathPrefix: "/lookup", Repeatable: true, DeadlineMillis: 5000},
			{Name: "order", Group: "riders", Pool: "desk", PathPrefix: "/order", DeadlineMillis: 5000},
			{Name: "upload", Group: "riders", Pool: "desk", PathPrefix: "/upload", Upload: true, DeadlineMillis: 5000},
		},
	})
	assert.NilError(t, err)
	assert.NilError(t, site.WaitInForce(ctx, revision))
	assert.NilError(t, site.WaitEndpoints(ctx, "desk", 1))
	return site, raw
}

// rawAnswer is what a caller read of an answer.
type rawAnswer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	// closed is true if the connection ended before the head of an answer, cut if it ended within the body.
	closed, cut bool
}

// callerReadTimeout bounds the time for which a caller waits for its answer. It exceeds the deadline of the routes.
const callerReadTimeout = 8 * time.Second

// callRaw sends a request, given as its bytes, to the daemon node over a new connection, and reads one answer.
func callRaw(t *testing.T, site *testsite.Site, node, request string) rawAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", site.Daemons[node].Daemon.Addresses().Caller)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(callerReadTimeout)))
	// The daemon may answer before it has read the request.
	go func() { _, _ = io.WriteString(conn, request) }()
	return readRawAnswer(t, bufio.NewReader(conn))
}

// readRawAnswer reads one answer.
func readRawAnswer(t *testing.T, reader *bufio.Reader) rawAnswer {
	t.Helper()
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		assert.Assert(t, !isTimeout(err), "no answer within %s", callerReadTimeout)
		return rawAnswer{closed: true}
	}
	body, err := io.ReadAll(response.Body)
	assert.Assert(t, !isTimeout(err), "the answer is not whole within %s", callerReadTimeout)
	return rawAnswer{status: response.StatusCode, header: response.Header, trailer: response.Trailer, body: string(body), cut: err != nil}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// answerWith returns a respondFunc that reads the whole request and then writes the answer text.
func answerWith(text string) respondFunc {
	return func(conn *net.TCPConn, request *http.Request) bool {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}
