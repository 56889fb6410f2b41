package peer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// greeting returns a function that sends the preface and a Hello frame.
func greeting(hello *lapisv1.Hello) func(*wire.Conn) error {
	return func(conn *wire.Conn) error {
		if err := conn.WritePreface(); err != nil {
			return err
		}
		return conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}})
	}
}

// A valid greeting selects the handler of its purpose. An invalid one is refused with a result code
// for the reason.
func TestGreetings(t *testing.T) {
	for name, row := range map[string]struct {
		send func(*wire.Conn) error
		code result.Code
	}{
		"of calls":            {greeting(&lapisv1.Hello{ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS}), result.OK},
		"of another version":  {greeting(&lapisv1.Hello{ProtocolVersion: 99, Purpose: lapisv1.Hello_PURPOSE_CALLS}), result.ProtocolBadVersion},
		"of another purpose":  {greeting(&lapisv1.Hello{ProtocolVersion: wire.ProtocolVersion}), result.ProtocolUnexpected},
		"with another frame":  {func(conn *wire.Conn) error { _ = conn.WritePreface(); return conn.Send(&lapisv1.ControlFrame{}) }, result.ProtocolUnexpected},
		"of another protocol": {func(conn *wire.Conn) error { return conn.Send(&lapisv1.Hello{Node: "another protocol"}) }, result.ProtocolBadVersion},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			server := &Server{Handlers: map[lapisv1.Hello_Purpose]Handler{lapisv1.Hello_PURPOSE_CALLS: nil}}
			go func() {
				_ = row.send(wire.NewConn(far, nil))
				// Drain the server's answer, so that its write does not block.
				buffer := make([]byte, 1024)
				for {
					if _, err := far.Read(buffer); err != nil {
						return
					}
				}
			}()
			_, _, err := server.greet(wire.NewConn(near, nil))
			assert.Assert(t, result.Is(err, row.code) || (err == nil && row.code == result.OK), "%v", err)
			assert.NilError(t, near.Close())
		})
	}
}

// A connection without a greeting is closed after GreetingTimeout and logged at debug level only, so
// that a port scan does not fill the log.
func TestSilentConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		lines := 0
		logger := funcr.New(func(string, string) { lines++ }, funcr.Options{})
		server := &Server{Logger: logger, Counters: &wire.Counters{}}
		began := time.Now()
		greeted := false
		server.serve(context.Background(), near, func() { greeted = true })
		assert.Equal(t, time.Since(began), GreetingTimeout)
		assert.Assert(t, greeted, "the slot of the greeting was not released")
		_, err := far.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.Equal(t, lines, 0)
	})
}
