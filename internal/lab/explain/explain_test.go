package explain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/explain"
)

const (
	failed  = "time=2026-01-01T00:00:05.000Z level=info event=call.failed node=a request=r1 revision=4 took_ms=40 "
	attempt = "time=2026-01-01T00:00:04.990Z level=info event=call.attempt_failed node=a request=r1 attempt=a/1 instance=i-1 member=b "
)

func journalOf(t *testing.T, lines ...string) *explain.Journal {
	t.Helper()
	read, _, err := explain.Read(strings.NewReader(strings.Join(lines, "\n")))
	assert.NilError(t, err)
	return explain.NewJournal(read)
}

func TestCauses(t *testing.T) {
	for name, row := range map[string]struct {
		lines []string
		cause explain.Cause
		proof string
	}{
		"instance at its limit": {[]string{
			attempt + "code=5005",
			"time=2026-01-01T00:00:04.980Z level=info event=origin.refused node=b request=r1 attempt=a/1 instance=i-1 code=5005 running=6 waiting=9 limit=6 service_ms=80",
			failed + "code=5005",
		}, explain.CauseOverload, "instance i-1 had 6 calls running and 9 waiting, limit 6, service time 80 ms"},
		"instance reset the connection": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:04.980Z level=info event=origin.broke node=b request=r1 attempt=a/1 instance=i-1 code=5008 took_ms=30 detail=reset",
			failed + "code=5008",
		}, explain.CauseInstanceBroke, "instance i-1, 30 ms after the request arrived: reset"},
		"daemon lost": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.100Z level=info event=fleet.lost node=c member=b",
			failed + "code=5008",
		}, explain.CauseDaemonLost, "c lost contact with b (fleet.lost)"},
		"zone evacuated":     {[]string{attempt + "code=5020", failed + "code=5020 detail=\"zone z\""}, explain.CauseNoInstance, "zone z"},
		"region not allowed": {[]string{attempt + "code=5022", failed + "code=5022 detail=\"region r\""}, explain.CauseNoInstance, "region r"},
		"no endpoint left":   {[]string{failed + "code=5002 constraint=region detail=\"the last\""}, explain.CauseNoInstance, "the last"},
		"another daemon lost": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.100Z level=info event=fleet.lost node=a member=c",
			failed + "code=5008",
		}, explain.CauseUnexplained, ""},
		"lines not sampled": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.500Z level=info event=decisions.sampled node=b one_of=1048576 not_written=9",
			failed + "code=5008",
		}, explain.CauseSampled, "b logged only one request in 1048576"},
		"route of a newer revision": {[]string{
			"time=2026-01-01T00:00:04.000Z level=info event=configuration.in_force node=b revision=5",
			failed + "code=5001",
		}, explain.CauseOldConfiguration, "a had revision 4 in force, b had put 5 in force 1s earlier"},
		"no route in any revision": {[]string{
			"time=2026-01-01T00:00:06.000Z level=info event=configuration.in_force node=b revision=5",
			failed + `code=5001 detail="GET /x"`,
		}, explain.CauseNoRoute, "no route in revision 4: GET /x"},
		"unknown key": {[]string{failed + `code=5025 detail="API key: unknown"`}, explain.CauseUnknownKey, "no such key in revision 4: API key: unknown"},
		"key of a newer revision": {[]string{
			"time=2026-01-01T00:00:04.000Z level=info event=configuration.in_force node=b revision=5",
			failed + "code=5025",
		}, explain.CauseOldConfiguration, "a had revision 4 in force, b had put 5 in force 1s earlier"},
		"keys not confirmed": {[]string{failed + "code=5027"}, explain.CauseKeysUnconfirmed, "a could not confirm revision 4"},
		"daemon just started": {[]string{
			"time=2026-01-01T00:00:04.500Z level=info event=daemon.started node=a",
			failed + "code=5003",
		}, explain.CauseNoConfiguration, "a had no configuration in force, it had started 500ms earlier"},
		"daemon stopping": {[]string{
			"time=2026-01-01T00:00:02.000Z level=info event=daemon.stopping node=a",
			failed + "code=5016",
		}, explain.CauseLeaving, "a had been stopping for 3s"},
		"instance exceeded the deadline": {[]string{
			attempt + "code=5009", failed + "code=5009",
		}, explain.CauseInstanceSlow, "instance i-1 had not answered after 40 ms"},
		"instance answered 500": {[]string{
			"time=2026-01-01T00:00:05.000Z level=info event=call.answered node=a request=r1 status=500 instance=i-1 service_ms=3",
		}, explain.CauseInstanceFailed, "instance i-1 answered 500 after 3 ms"},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := journalOf(t, row.lines...).Explain("r1")
			assert.Equal(t, verdict.Cause, row.cause, verdict.Proof)
			if row.proof != "" {
				assert.Equal(t, verdict.Proof, row.proof)
			}
		})
	}
}

func TestReadSkipsOtherOutput(t *testing.T) {
	text := "built in 3 s\n  1.5 node-a time=2026-01-01T00:00:05Z level=info event=daemon.started node=a\nno time event=x\n"
	lines, skipped, err := explain.Read(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, skipped, 2)
	assert.Equal(t, lines[0].Node, "a")
}

func TestReadRejectsMalformedLines(t *testing.T) {
	for name, text := range map[string]string{
		"no closing quote": `time=2026-01-01T00:00:05Z level=info event=x detail="open`,
		"invalid time":     "time=yesterday level=info event=x",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := explain.Read(strings.NewReader(text))
			assert.ErrorContains(t, err, "line 1")
		})
	}
}
