package origin

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// A call has the keys of its whole body once all of it was sent to the instance, and until then the
// partial key of its stated length.
func TestKeysOfCallsInFlight(t *testing.T) {
	const content = "abc"
	line := fingerprint.RequestLine{Method: http.MethodPost, Host: "a.example", Target: "/order"}
	whole := fingerprint.Of(line, []byte(content)).Whole()
	for name, row := range map[string]struct {
		body   string
		length int64
		read   int64
		whole  bool
		keys   []fingerprint.Key
	}{
		"without a body":                      {"", 0, 0, true, fingerprint.Of(line, nil).Whole()},
		"nothing was read":                    {content, 3, 0, false, []fingerprint.Key{fingerprint.PartialOf(line, 3)}},
		"a part was read":                     {content, 3, 2, false, []fingerprint.Key{fingerprint.PartialOf(line, 3)}},
		"the stated length was read":          {content, 3, 3, true, whole},
		"a part of unknown length":            {content, -1, 3, false, []fingerprint.Key{fingerprint.PartialOf(line, -1)}},
		"all of unknown length, with its end": {content, -1, 4, true, whole},
	} {
		t.Run(name, func(t *testing.T) {
			call := &callapi.Call{Open: &lapisv1.CallOpen{
				Method: line.Method, Host: line.Host, Target: line.Target, ContentLength: row.length,
			}}
			if row.body != "" {
				call.Body = strings.NewReader(row.body)
			}
			sent := trackCall(call)
			if call.Body != nil {
				_, _ = io.ReadAll(io.LimitReader(call.Body, row.read))
			}
			assert.Equal(t, sent.isBodyComplete(), row.whole)
			assert.DeepEqual(t, sent.keys(), row.keys)
		})
	}
}

// A call is suspected of one crash, although a late answer of its process clears the crash.
func TestCallIsSuspectedOnce(t *testing.T) {
	now := time.Now()
	calls, call := &inFlightCalls{}, trackCall(&callapi.Call{Open: &lapisv1.CallOpen{}})
	calls.add(call)
	suspects, first := calls.markCrashed(now)
	assert.Assert(t, first && len(suspects) == 1)
	calls.clearCrash()
	calls.removeUnanswered(call, now)
	assert.Assert(t, calls.recordTakeover(now))
	suspects, first = calls.markCrashed(now)
	assert.Assert(t, first && len(suspects) == 0)
}

// A call counts as in flight at a takeover by the time that the next process has run.
func TestCallsInFlightAtATakeover(t *testing.T) {
	end := time.Now()
	for since, want := range map[time.Duration]bool{
		-time.Second: true, 0: true, recentCallWindow: true, recentCallWindow + 1: false,
	} {
		calls, call := &inFlightCalls{}, trackCall(&callapi.Call{Open: &lapisv1.CallOpen{}})
		calls.add(call)
		calls.removeUnanswered(call, end)
		assert.Equal(t, calls.recordTakeover(end.Add(since)), want, "%s", since)
		suspects, _ := calls.markCrashed(end.Add(time.Minute))
		assert.Equal(t, len(suspects) == 1, want, "%s", since)
	}
}
