package daemon

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
)

// The metrics address is auxiliary: another program that has it must not end or hold up a daemon.
func TestDaemonServesWithoutItsMetricsAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := taken.Addr().String()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settingsText+"metrics_address: "+address+"\n"), 0o600))
	config, err := settings.ReadDaemon(path, func(*settings.Daemon) {})
	assert.NilError(t, err)
	running, err := New(config, Options{Logger: logr.Discard(), SimulateKill: true})
	assert.NilError(t, err)
	assert.Equal(t, running.Addresses().Metrics, "")
	force, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		running.Run(nil, force)
	}()
	assert.NilError(t, taken.Close())
	for end := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		if response, err := http.Get("http://" + address + "/metrics"); err == nil {
			assert.NilError(t, response.Body.Close())
			break
		}
		assert.Assert(t, time.Now().Before(end))
	}
	close(force)
	<-ended
}
