package callmux

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// eofOrigin is an Origin that closes done once the body of its answer was read to the end.
type eofOrigin struct{ done chan struct{} }

func (d eofOrigin) Handle(context.Context, *callapi.Call) (*callapi.Answer, error) {
	body := bytes.Repeat([]byte("x"), 2000)
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: int64(len(body))}, Body: eofBody{bytes.NewReader(body), d.done},
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

func (eofOrigin) Fence(string) bool { return false }

type eofBody struct {
	io.Reader
	done chan struct{}
}

func (d eofBody) Read(buffer []byte) (int, error) {
	count, err := d.Reader.Read(buffer)
	if err == io.EOF {
		close(d.done)
	}
	return count, err
}

func (eofBody) Close() error { return nil }

// Guards against a process that ends while an answer is still being sent. The answer is read
// completely before it is sent, which frees its slot. A stop that counts only calls with a slot would
// end too early, and the caller would see an unknown outcome.
func TestAnswersOnTheirWayAreUndelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		origin := eofOrigin{done: make(chan struct{})}
		server := &Server{Origin: origin, Timing: Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Hour}}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(t.Context(), wire.NewConn(near, nil), &lapisv1.Hello{})
		}()
		caller := wire.NewConn(far, nil)
		assert.NilError(t, caller.Receive(&lapisv1.ControlFrame{}))
		assert.Equal(t, server.Undelivered(), 0)
		assert.NilError(t, caller.Send(&lapisv1.CallFrame{Call: 1, Body: &lapisv1.CallFrame_Open{Open: &lapisv1.CallOpen{}}}))
		<-origin.done
		synctest.Wait()
		assert.Equal(t, server.Undelivered(), 1, "the caller has not read the answer")
		for ended := false; !ended; {
			frame := &lapisv1.CallFrame{}
			assert.NilError(t, caller.Receive(frame))
			ended = frame.GetData().GetEnd()
		}
		synctest.Wait()
		assert.Equal(t, server.Undelivered(), 0)
		assert.NilError(t, caller.Close())
		<-ended
	})
}
