package callmux

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// oddBytes are valid in the value of an HTTP field, but not in the strings of frames.
const oddBytes = "caf\xe9"

// oddOrigin answers calls with the attempt IDs below with oddBytes in places, and all others as usual.
type oddOrigin struct{}

func (oddOrigin) Fence(string) bool { return false }

func (oddOrigin) Handle(_ context.Context, call *callapi.Call) (*callapi.Answer, error) {
	field := []*lapisv1.HeaderField{{Name: oddBytes, Value: "title"}}
	answer := &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: -1}, Body: io.NopCloser(bytes.NewReader(nil)),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}
	switch call.Open.GetAttemptId() {
	case "head":
		answer.Head.Headers = field
	case "trailers":
		answer.Trailers = func() []*lapisv1.HeaderField { return field }
	case "error":
		return nil, errors.New(oddBytes)
	}
	return answer, nil
}

// readAnswer makes a call and reads its answer.
func readAnswer(ctx context.Context, client *Client, address, attempt string) error {
	answer, err := client.Handle(ctx, address, &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: attempt}})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return err
}

// Guards against an answer that cannot be encoded and ends the connection with the calls of others.
func TestAnswerThatCannotBeSentEndsItsCallOnly(t *testing.T) {
	for _, attempt := range []string{"head", "trailers", "error"} {
		t.Run(attempt, func(t *testing.T) {
			client, address := serveOrigin(t, oddOrigin{}, nil)
			assert.NilError(t, readAnswer(t.Context(), client, address, "before"))
			session := client.link(address).session
			err := readAnswer(t.Context(), client, address, attempt)
			assert.Equal(t, callapi.OutcomeOf(err), callapi.OutcomeUnknown, "%v", err)
			assert.NilError(t, readAnswer(t.Context(), client, address, "after"))
			assert.Assert(t, !session.isClosed() && client.link(address).session == session, "the connection was replaced")
		})
	}
}
