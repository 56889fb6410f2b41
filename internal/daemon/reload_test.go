package daemon

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

const settingsText = `node: a
zone: z
peer_address: 127.0.0.1:0
platform: {addresses: [127.0.0.1:1]}
service: desk
stop_limit: 5s
`

// Guards against a settings file that is read while it is written: where the required keys come last, no
// part that is cut off is applied.
func TestCutOffSettingsAreNotReloaded(t *testing.T) {
	const whole = "zone: z\nplatform: {addresses: [127.0.0.1:1]}\npeer_address: 127.0.0.1:0\nstop_limit: 55s\nservice: desk\nnode: \"ab\"\n"
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	read := func() (*settings.Daemon, error) { return settings.ReadDaemon(path, func(*settings.Daemon) {}) }
	write(strings.Replace(whole, "55s", "5s", 1))
	config, err := read()
	assert.NilError(t, err)
	running, err := New(config, Options{Logger: logr.Discard()})
	assert.NilError(t, err)
	defer running.listeners.close()
	watcher := &reloader{daemon: running, path: path, read: read}
	for length := range len(whole) - 1 {
		write(whole[:length])
		watcher.reload("signal")
		assert.Assert(t, running.settings.Load() == config, "%q was applied", whole[:length])
	}
	write(whole)
	watcher.reload("signal")
	assert.Equal(t, running.settings.Load().StopLimit, tunables.Duration(55*time.Second))
}

func TestSettingsAreReloadedWholeOrNotAtAll(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	read := func() (*settings.Daemon, error) { return settings.ReadDaemon(path, func(*settings.Daemon) {}) }
	write(settingsText)
	config, err := read()
	assert.NilError(t, err)
	var lines []string
	logger := funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
	running, err := New(config, Options{Logger: logger})
	assert.NilError(t, err)
	defer running.listeners.close()
	watcher := &reloader{daemon: running, path: path, read: read}

	write(settingsText + "retries: {fraction: 0.3, burst: 9}\nmetrics_address: 127.0.0.1:0\n")
	watcher.reload("signal")
	assert.Equal(t, running.settings.Load().Retries, settings.Retries{Fraction: 0.3, Burst: 9})
	assert.Equal(t, running.settings.Load().MetricsAddress, "", "needs a restart")
	assert.Assert(t, len(lines) == 1)
	assert.Assert(t, strings.Contains(lines[0], `"changed"="retries"`) && strings.Contains(lines[0], `"need_restart"="metrics_address"`), lines[0])

	write(settingsText + "stop_limit: 9s\nsurplus: 1\n")
	watcher.reload("file")
	assert.Equal(t, running.settings.Load().StopLimit, tunables.Duration(5*time.Second))
	assert.Assert(t, len(lines) == 2)
	assert.Assert(t, strings.Contains(lines[1], "settings.refused"), lines[1])
}

// Guards against a change of the file that is never seen: it came while the start waited for an address.
func TestChangeDuringTheStartIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settingsText), 0o600))
	starting := newLaunch(&daemonFlags{Settings: path}, nil, io.Discard, nil, nil)
	running, err := starting.run()
	assert.NilError(t, err)
	defer running.listeners.close()
	assert.NilError(t, os.WriteFile(path, []byte(settingsText+"retries: {fraction: 0.3, burst: 9}\n"), 0o600))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		watcher := newReloader(running, &daemonFlags{Settings: path}, starting.settingsStamp, nil)
		go watcher.run(ctx)
		time.Sleep(settingsPollInterval + time.Millisecond)
		synctest.Wait()
		cancel()
	})
	assert.Equal(t, running.settings.Load().Retries.Burst, 9.0)
}
