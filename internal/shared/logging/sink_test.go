package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/logging"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestLinesAreKeyValuePairs(t *testing.T) {
	for name, row := range map[string]struct {
		pairs []any
		want  string
	}{
		"plain":          {[]any{"calls", 3, "route", "dock"}, "calls=3 route=dock"},
		"quoted":         {[]any{"detail", "two words", "empty", ""}, `detail="two words" empty=""`},
		"one line":       {[]any{"detail", "a\nb=c"}, `detail="a\nb=c"`},
		"numbers":        {[]any{"load", 0.5, "age", 250 * time.Millisecond}, "load=0.500 age=250ms"},
		"numbered error": {[]any{"cause", result.Errorf(result.CallNoRoute, "GET /")}, `cause="5001 call-no-route: GET /"`},
		"code":           {[]any{"name", result.CallNoRoute}, "name=call-no-route"},
	} {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			logging.NewPlain(&written).Info("call.done", row.pairs...)
			assert.Equal(t, written.String(), "event=call.done "+row.want+"\n")
		})
	}
}

func TestLevelsAndVerbosity(t *testing.T) {
	var written bytes.Buffer
	logger := logging.New(&written, 1).WithValues("node", "n1")
	logger.V(2).Info("too.much")
	logger.V(1).Info("detail.seen")
	logger.Error(errors.New("broken"), "part.failed")
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	assert.Equal(t, len(lines), 2, "%v", lines)
	assert.Assert(t, strings.Contains(lines[0], " level=debug event=detail.seen node=n1"), lines[0])
	assert.Assert(t, strings.HasPrefix(lines[0], "time=2"), lines[0])
	assert.Assert(t, strings.Contains(lines[1], " level=error event=part.failed"), lines[1])
	assert.Assert(t, strings.Contains(lines[1], " error=broken"), lines[1])
}
