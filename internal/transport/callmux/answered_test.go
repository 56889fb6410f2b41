package callmux

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Guards against a 502 in place of an answer that had arrived: a call that ran late saw the answer and the
// end of its session at the same time, and took the end half of the time.
func TestAnswerAheadOfTheEndOfItsSessionIsUsed(t *testing.T) {
	for range 100 {
		opened := newStream(1, nil)
		opened.head <- &lapisv1.CallHead{Status: 200}
		opened.fail(result.Errorf(result.CallUnknownOutcome, "the connection to the peer daemon was lost"))
		head, err := awaitHead(t.Context(), opened, nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, head.GetStatus(), uint32(200))
	}
}
