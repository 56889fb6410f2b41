package lab

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReportShowsFailuresBySecond(t *testing.T) {
	folder := t.TempDir()
	log := filepath.Join(folder, "day.log")
	assert.NilError(t, os.WriteFile(log, []byte(`time=2026-01-01T00:00:00.000Z level=info event=daemon.started node=a
time=2026-01-01T00:00:01.400Z level=info event=call.failed node=a request=r1 route=r code=5003 name=call-not-ready
`), 0o600))
	command := &reportCommand{Output: filepath.Join(folder, "new", "page.html")}
	command.Files.Paths = []string{log}
	assert.NilError(t, command.Execute(nil))
	page, err := os.ReadFile(command.Output)
	assert.NilError(t, err)
	for _, part := range []string{"<svg", "<th>no-configuration</th>", "<tr><td>0</td><td>0</td></tr>", "<tr><td>1</td><td>1</td></tr>"} {
		assert.Assert(t, strings.Contains(string(page), part), part)
	}
	command.Files.Paths = []string{filepath.Join(folder, "missing")}
	assert.ErrorContains(t, command.Execute(nil), "missing")
}
