package callmux

import (
	"bytes"
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
)

// panicReader is a body whose reads panic.
type panicReader struct{}

func (panicReader) Read([]byte) (int, error) { panic("odd body") }

// panicOrigin answers calls with the attempt IDs below with a body that panics, and all others as usual.
type panicOrigin struct{}

func (panicOrigin) Fence(string) bool { return false }

func (panicOrigin) Handle(_ context.Context, call *callapi.Call) (*callapi.Answer, error) {
	answer := &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: 1}, Body: io.NopCloser(bytes.NewReader([]byte("a"))),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}
	switch call.Open.GetAttemptId() {
	case "short":
		answer.Body = io.NopCloser(panicReader{})
	case "long":
		answer.Head.ContentLength, answer.Body = -1, io.NopCloser(panicReader{})
	case "request":
		_, err := io.ReadAll(call.Body)
		return nil, err
	}
	return answer, nil
}

// Guards against a body that ends the daemon with the calls of others.
func TestPanicInABodyEndsItsCallOnly(t *testing.T) {
	defer containment.Enable(func(string, any, []byte) {})()
	for _, attempt := range []string{"short", "long", "request"} {
		t.Run(attempt, func(t *testing.T) {
			client, address := serveOrigin(t, panicOrigin{}, nil)
			assert.NilError(t, readAnswer(t.Context(), client, address, "before"))
			session, before := client.link(address).session, containment.Contained()
			if attempt == "request" {
				open := &lapisv1.CallOpen{AttemptId: attempt, ContentLength: -1}
				_, err := client.Handle(t.Context(), address, &callapi.Call{Open: open, Body: panicReader{}})
				assert.Assert(t, err != nil)
			} else {
				assert.Assert(t, readAnswer(t.Context(), client, address, attempt) != nil)
			}
			assert.NilError(t, readAnswer(t.Context(), client, address, "after"))
			assert.Assert(t, !session.isClosed())
			assert.Equal(t, containment.Contained()-before, int64(1))
		})
	}
}
