package daemon

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/cli"
)

func TestFailedStartIsLoggedOnOneLine(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	address := taken.Addr().String()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	for name, row := range map[string]struct {
		content, want string
		status        int
	}{
		"two faults":       {"node: a\n", `node=a step=settings subject=` + path + ` code=1004 name=settings-missing detail="1004 settings-missing: zone\n`, cli.ExitUsage},
		"unknown key":      {settingsText + "colour: red\n", `node="" step=settings subject=` + path + ` code=1002 `, cli.ExitUsage},
		"unknown platform": {strings.Replace(settingsText, "{addresses", "{form: other, addresses", 1), `node=a step=platform subject=other code=1005 `, cli.ExitUsage},
		"taken address":    {settingsText + "start_limit: 30ms\ncaller_address: " + address + "\n", `node=a step=caller_address subject=` + address + ` code=1003 `, cli.ExitUnavailable},
		"no certificate":   {settingsText + "peer_tls: {certificate: /nowhere/c, key: k, authority: a}\n", `node=a step=peer_tls subject=/nowhere/c code=1006 `, cli.ExitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(path, []byte(row.content), 0o600))
			// A fault in a file that has just been written is waited for.
			assert.NilError(t, os.Chtimes(path, time.Time{}, time.Now().Add(-time.Hour)))
			var output, stderr bytes.Buffer
			starting := newLaunch(&daemonFlags{Settings: path}, nil, &output, nil, nil)
			_, err := starting.run()
			assert.Assert(t, err != nil)
			assert.Equal(t, starting.end(&stderr, err), row.status)
			_, failure, _ := strings.Cut(output.String(), "level=error event=daemon.start_failed ")
			assert.Equal(t, strings.Count(failure, "\n"), 1)
			assert.Assert(t, strings.HasPrefix(failure, row.want), output.String())
			assert.Assert(t, strings.HasSuffix(failure, fmt.Sprintf(" status=%d\n", row.status)), output.String())
			assert.Equal(t, strings.Contains(output.String(), "event=daemon.start_waiting "), row.status == cli.ExitUnavailable)
			assert.Equal(t, stderr.String(), err.Error()+"\n")
		})
	}
}
