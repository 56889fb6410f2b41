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
		"full": {[]string{
			attempt + "code=5005",
			"time=2026-01-01T00:00:04.980Z level=info event=origin.refused node=b request=r1 attempt=a/1 instance=i-1 code=5005 running=6 waiting=9 limit=6 service_ms=80",
			failed + "code=5005",
		}, explain.CauseOverload, "instance i-1 had 6 running and 9 waiting of 6 slots, a call takes 80 ms"},
		"the instance broke off": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:04.980Z level=info event=origin.broke node=b request=r1 attempt=a/1 instance=i-1 code=5008 took_ms=30 detail=reset",
			failed + "code=5008",
		}, explain.CauseInstanceBroke, "instance i-1, 30 ms after it came there: reset"},
		"the daemon was lost": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.100Z level=info event=fleet.lost node=c member=b",
			failed + "code=5008",
		}, explain.CauseDaemonLost, "c lost b (fleet.lost)"},
		"evacuated":     {[]string{attempt + "code=5020", failed + "code=5020 detail=\"zone z\""}, explain.CauseNoInstance, "zone z"},
		"not at home":   {[]string{attempt + "code=5022", failed + "code=5022 detail=\"region r\""}, explain.CauseNoInstance, "region r"},
		"none was left": {[]string{failed + "code=5002 constraint=region detail=\"the last\""}, explain.CauseNoInstance, "the last"},
		"another daemon was lost": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.100Z level=info event=fleet.lost node=a member=c",
			failed + "code=5008",
		}, explain.CauseUnexplained, ""},
		"its lines were left out": {[]string{
			attempt + "code=5008",
			"time=2026-01-01T00:00:05.500Z level=info event=decisions.sampled node=b one_of=1048576 not_written=9",
			failed + "code=5008",
		}, explain.CauseSampled, "b wrote the lines of one request of 1048576"},
		"behind the others": {[]string{
			"time=2026-01-01T00:00:04.000Z level=info event=configuration.in_force node=b revision=5",
			failed + "code=5001",
		}, explain.CauseOldConfiguration, "a had revision 4 in force, b already had 5 1s before"},
		"no such route anywhere": {[]string{
			"time=2026-01-01T00:00:06.000Z level=info event=configuration.in_force node=b revision=5",
			failed + `code=5001 detail="GET /x"`,
		}, explain.CauseNoRoute, "no route in revision 4: GET /x"},
		"an unknown key": {[]string{failed + `code=5025 detail="API key: unknown"`}, explain.CauseUnknownKey, "no such key in revision 4: API key: unknown"},
		"a key of a newer revision": {[]string{
			"time=2026-01-01T00:00:04.000Z level=info event=configuration.in_force node=b revision=5",
			failed + "code=5025",
		}, explain.CauseOldConfiguration, "a had revision 4 in force, b already had 5 1s before"},
		"keys not confirmed": {[]string{failed + "code=5027"}, explain.CauseKeysUnconfirmed, "a could not confirm revision 4"},
		"just started": {[]string{
			"time=2026-01-01T00:00:04.500Z level=info event=daemon.started node=a",
			failed + "code=5003",
		}, explain.CauseNoConfiguration, "a had no configuration in force, it had started 500ms before"},
		"stopping": {[]string{
			"time=2026-01-01T00:00:02.000Z level=info event=daemon.stopping node=a",
			failed + "code=5016",
		}, explain.CauseLeaving, "a was stopping for 3s"},
		"hung": {[]string{
			attempt + "code=5009", failed + "code=5009",
		}, explain.CauseInstanceSlow, "instance i-1 had it when 40 ms were over"},
		"the instance's own failure": {[]string{
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

func TestReadPassesOverWhatIsNoLine(t *testing.T) {
	text := "built in 3 s\n  1.5 node-a time=2026-01-01T00:00:05Z level=info event=daemon.started node=a\nno time event=x\n"
	lines, skipped, err := explain.Read(strings.NewReader(text))
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, skipped, 2)
	assert.Equal(t, lines[0].Node, "a")
}

func TestReadRefusesBrokenLines(t *testing.T) {
	for name, text := range map[string]string{
		"no closing quote": `time=2026-01-01T00:00:05Z level=info event=x detail="open`,
		"no time of day":   "time=yesterday level=info event=x",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := explain.Read(strings.NewReader(text))
			assert.ErrorContains(t, err, "line 1")
		})
	}
}
