package callmux

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// echoOrigin is an Origin that refuses calls or answers with their request body.
type echoOrigin struct{ refuse bool }

func (g echoOrigin) Fence(string) bool { return false }

func (g echoOrigin) Handle(_ context.Context, call *callapi.Call) (*callapi.Answer, error) {
	if g.refuse {
		return nil, result.Errorf(result.CallNotRunOverloaded, "full")
	}
	body, err := io.ReadAll(call.Body)
	if err != nil {
		return nil, err
	}
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: int64(len(body))}, Body: io.NopCloser(bytes.NewReader(body)),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

// serveOrigin starts a server with the given Origin and returns a client and the server's address.
func serveOrigin(t *testing.T, origin Origin, counters *wire.Counters) (*Client, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Node: "b", Incarnation: 1, Origin: origin}
	accepting := &peer.Server{Node: "b", Logger: logr.Discard(), Counters: &wire.Counters{}, Handlers: map[lapisv1.Hello_Purpose]peer.Handler{lapisv1.Hello_PURPOSE_CALLS: server.Serve}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		accepting.Serve(ctx, listener)
	}()
	client := &Client{
		Network: wire.TCP{}, Counters: counters,
		Hello: &lapisv1.Hello{ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS, Node: "a"},
	}
	t.Cleanup(func() {
		client.Close()
		cancel()
		_ = listener.Close()
		<-ended
	})
	return client, listener.Addr().String()
}

// The body of a refused call is not sent, since it would fill the link of an overloaded daemon.
func TestRefusedCallsLeaveTheirBodiesBehind(t *testing.T) {
	content := strings.Repeat("x", 60_000)
	for name, row := range map[string]struct {
		refuse   bool
		maxBytes int64
	}{"refused": {true, 8 << 10}, "admitted": {false, 80 << 10}} {
		t.Run(name, func(t *testing.T) {
			counters := &wire.Counters{}
			client, address := serveOrigin(t, echoOrigin{row.refuse}, counters)
			call := &callapi.Call{
				Open: &lapisv1.CallOpen{AttemptId: "a1", ContentLength: int64(len(content))},
				Body: strings.NewReader(content), Buffered: true,
			}
			answer, err := client.Handle(context.Background(), address, call)
			assert.Equal(t, result.Is(err, result.CallNotRunOverloaded), row.refuse, "%v", err)
			if err == nil {
				body, readErr := io.ReadAll(answer.Body)
				assert.NilError(t, readErr)
				assert.Equal(t, string(body), content)
				assert.NilError(t, answer.Body.Close())
			}
			assert.Assert(t, counters.BytesOut.Load() <= row.maxBytes, "%d bytes were sent", counters.BytesOut.Load())
		})
	}
}
