package callmux

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// deafNetwork opens no connection: the machine dialed has no power.
type deafNetwork struct{}

func (deafNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (deafNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// After a loss of power, links came back a second late: a dial that had begun just
// before the peer was there hung until its whole time was over.
func TestDialThatLeadsNowhereIsGivenUpSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Network: deafNetwork{}}
		began := time.Now()
		_, err := client.Connect(t.Context(), "peer", "10.0.0.1:1", Control{})
		assert.Assert(t, result.Is(err, result.CallNotRunUnreachable), "%v", err)
		assert.Assert(t, time.Since(began) <= dialTimeout, "%s", time.Since(began))
		assert.Assert(t, dialTimeout < time.Second, "the kernel sends the opening packet again")
	})
}
