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

// doneAtOnce is an origin whose instance is done with each call as soon as its answer was read.
type doneAtOnce struct{ done chan struct{} }

func (d doneAtOnce) Handle(context.Context, *callapi.Call) (*callapi.Answer, error) {
	body := bytes.Repeat([]byte("x"), 2000)
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: int64(len(body))}, Body: doneBody{bytes.NewReader(body), d.done},
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

func (doneAtOnce) Fence(string) bool { return false }

type doneBody struct {
	io.Reader
	done chan struct{}
}

func (d doneBody) Read(buffer []byte) (int, error) {
	count, err := d.Reader.Read(buffer)
	if err == io.EOF {
		close(d.done)
	}
	return count, err
}

func (doneBody) Close() error { return nil }

// A stop counted the calls that hold a slot. An answer is read whole before it is sent, so that its
// slot is free however narrow the link: the process could end with the answer on its way, and the
// call ended as unknown at its caller.
func TestAnswersOnTheirWayAreUndelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		origin := doneAtOnce{done: make(chan struct{})}
		server := &Server{Origin: origin, Timing: Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Hour}}
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
		assert.Equal(t, server.Undelivered(), 1, "the caller has read nothing of the answer")
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
