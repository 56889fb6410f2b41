package socket

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A reset is told from a close even after a write has taken the error of the connection.
func TestEndOfTellsAResetFromAClose(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(*net.TCPConn)
		want End
	}{
		"open":  {func(*net.TCPConn) {}, EndUnknown},
		"close": {func(peer *net.TCPConn) { _ = peer.Close() }, EndClosed},
		"reset": {func(peer *net.TCPConn) { _ = peer.SetLinger(0); _ = peer.Close() }, EndReset},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			peer, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = peer.Close() }()
			test.end(peer.(*net.TCPConn))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if end := EndOf(conn); end != test.want {
					return poll.Continue("the end is %d", end)
				}
				return poll.Success()
			})
			if test.want != EndReset {
				return
			}
			_, err = io.WriteString(conn, "x")
			assert.Assert(t, err != nil)
			_, err = conn.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, EndOf(conn), EndReset)
		})
	}
}
