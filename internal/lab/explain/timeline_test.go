package explain_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/explain"
)

func TestTimelineCountsFailuresBySecondAndCause(t *testing.T) {
	log := `time=2026-01-01T00:00:00.000Z level=info event=daemon.started node=a
time=2026-01-01T00:00:00.400Z level=info event=call.failed node=a request=r1 route=r code=5003 name=call-not-ready
time=2026-01-01T00:00:00.900Z level=info event=call.failed node=a request=r2 route=r code=5013 name=call-bad-request
time=2026-01-01T00:00:02.100Z level=info event=call.failed node=a request=r3 route=r code=5003 name=call-not-ready
`
	lines, skipped, err := explain.Read(strings.NewReader(log))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 0)
	assert.DeepEqual(t, explain.NewJournal(lines).Timeline(), []explain.Second{
		{From: 0, Failed: map[explain.Cause]int{explain.CauseNoConfiguration: 1, explain.CauseBadRequest: 1}},
		{From: time.Second, Failed: map[explain.Cause]int{}},
		{From: 2 * time.Second, Failed: map[explain.Cause]int{explain.CauseNoConfiguration: 1}},
	})
	assert.Equal(t, len(explain.NewJournal(nil).Timeline()), 0)
}
