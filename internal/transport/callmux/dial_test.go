package callmux

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// unresponsiveNetwork is a Network whose dials get no reply, as if the peer's machine had no power.
type unresponsiveNetwork struct{}

func (unresponsiveNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (unresponsiveNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// Guards against slow reconnection after a power failure: a dial that starts just before the peer is
// up must not block until the kernel retransmits the SYN, which took a second.
func TestDialThatLeadsNowhereIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Network: unresponsiveNetwork{}}
		began := time.Now()
		_, err := client.Connect(t.Context(), "peer", "10.0.0.1:1", nil)
		assert.Assert(t, result.Is(err, result.CallNotRunUnreachable), "%v", err)
		assert.Assert(t, time.Since(began) <= dialTimeout, "%s", time.Since(began))
		assert.Assert(t, dialTimeout < time.Second, "the kernel retransmits the SYN before the timeout")
	})
}

// Guards against frames of a daemon at a reused address that are taken for those of the daemon expected there.
func TestFramesOfAnotherDaemonAreNotRead(t *testing.T) {
	client, address := serveOrigin(t, oddOrigin{}, nil)
	read := 0
	_, err := client.Connect(t.Context(), "expected", address, func(Link) Control { read++; return Control{} })
	var other *OtherDaemonError
	assert.Assert(t, errors.As(err, &other), "%v", err)
	assert.DeepEqual(t, *other, OtherDaemonError{Address: address, Expected: "expected", Found: "b"})
	assert.Equal(t, read, 0, "the session was given callbacks, and reads")
	_, err = client.Connect(t.Context(), "b", address, func(Link) Control { read++; return Control{} })
	assert.NilError(t, err)
	assert.Equal(t, read, 1)
}
