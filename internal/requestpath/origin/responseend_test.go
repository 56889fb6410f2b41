package origin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// gatedBody is a request body whose second part can be read only after the gate is opened.
type gatedBody struct {
	parts []string
	gate  chan struct{}
}

func (g *gatedBody) Read(buffer []byte) (int, error) {
	switch len(g.parts) {
	case 0:
		return 0, io.EOF
	case 1:
		<-g.gate
	}
	count := copy(buffer, g.parts[0])
	if g.parts[0] = g.parts[0][count:]; g.parts[0] == "" {
		g.parts = g.parts[1:]
	}
	return count, nil
}

// startEarlyBackend starts a back end that answers with text as soon as it has read the head of a request, and ends
// the connection when the test says so, by a reset or a close. It returns its address.
func startEarlyBackend(t *testing.T, text string, end <-chan struct{}, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*net.TCPConn)
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		<-end
		if reset {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			return
		}
		_ = conn.CloseWrite()
		// The back end goes on reading, so that nothing resets the connection.
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String()
}

// Guards against the part of an answer that came before a reset being passed on as a whole answer: the kernel has
// reported the reset to the write of the request, and the read of the answer finds the end of the connection.
func TestAnswerWithoutLengthIsWholeOnlyAfterAClose(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	for _, part := range []string{"", "part", strings.Repeat("long ", 2000)} {
		for _, length := range []int64{200_000, -1} {
			for _, reset := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d bytes of the answer, upload of %d, reset %t", len(part), length, reset), func(t *testing.T) {
					end := make(chan struct{})
					address := startEarlyBackend(t, head+part, end, reset)
					content := strings.Repeat("x", 100_000)
					body := &gatedBody{parts: []string{content, content}, gate: make(chan struct{})}
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					response, err := newBackend(address, "desk-1", &callapi.Envelope{}, 1).roundTrip(ctx, &callapi.Call{
						Open: &lapisv1.CallOpen{Method: "POST", Target: "/", Host: "a", ContentLength: length}, Body: body,
					}, func() {})
					assert.NilError(t, err)
					close(end)
					// The end of the connection is to arrive before the rest of the upload is written.
					time.Sleep(50 * time.Millisecond)
					close(body.gate)
					time.Sleep(50 * time.Millisecond)
					answered, err := io.ReadAll(response.Body)
					if reset {
						assert.Assert(t, err != nil, "the %d bytes before the reset passed for a whole answer", len(answered))
						_, err = response.Body.Read(make([]byte, 1))
						assert.Assert(t, err != nil && err != io.EOF, "the second read says %v", err)
					} else {
						assert.NilError(t, err)
						assert.Equal(t, string(answered), part)
					}
				})
			}
		}
	}
}
