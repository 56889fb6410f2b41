package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/platform"
)

// Bounds of starts, on real processes.
const (
	// readyBound bounds the time from when a start can go on until the daemon is ready.
	readyBound = 3 * time.Second
	// stopBound bounds the time from a stop signal to the end of a process that is not serving yet.
	stopBound = time.Second
)

// startSite is a site of two daemons, one of which is started again and again.
type startSite struct {
	t         *testing.T
	processes *launcher
	machine   *day.Machine
	before    *process
}

// Guards against a start that is a single attempt: a taken address, a predecessor that drains or a settings
// file that is being written ended the process with status 2, and nobody started it again.
func TestStartOutlastsWhatPasses(t *testing.T) {
	for _, name := range []string{"peer", "caller", "instances", "readiness", "metrics"} {
		t.Run("taken address: "+name, func(t *testing.T) { newStartSite(t).testTakenAddress(name) })
	}
	t.Run("predecessor that drains", func(t *testing.T) { newStartSite(t).testDrainingPredecessor() })
	t.Run("settings file missing", func(t *testing.T) { newStartSite(t).testSettings(nil, false) })
	t.Run("settings file empty", func(t *testing.T) { newStartSite(t).testSettings([]byte{}, false) })
	t.Run("settings file half written", func(t *testing.T) { newStartSite(t).testSettings(nil, true) })
	t.Run("stop signal while it waits", func(t *testing.T) { newStartSite(t).testStopWhileWaiting() })
}

// Guards against waiting for what does not pass: a fault of a whole settings file ends the process.
func TestPermanentFaultsEndAStart(t *testing.T) {
	const whole = `{"node":"a","zone":"z","peer_address":"127.0.0.1:0","platform":{"form":"objects","addresses":["127.0.0.1:1"]}%s}`
	for name, row := range map[string]struct{ content, code string }{
		"unknown platform": {strings.Replace(whole, "objects", "other", 1), "1005"},
		"unknown key":      {fmt.Sprintf(whole, `,"colour":"red"`), "1002"},
		"bad number":       {fmt.Sprintf(whole, `,"verbosity":-1`), "1005"},
		"missing key":      {strings.Replace(whole, `"zone":"z",`, "", 1), "1004"},
	} {
		t.Run(name, func(t *testing.T) {
			processes := newLauncher(t)
			path := filepath.Join(processes.directory, "settings.yaml")
			assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(row.content, "%s", "")), 0o600))
			running := processes.run(path)
			assert.Equal(t, running.exitStatus(t), "exit status 2")
			assert.Assert(t, strings.Contains(running.output.String(), row.code), "%s", running.output)
		})
	}
}

// run starts a process with a settings file.
func (l *launcher) run(path string) *process {
	l.t.Helper()
	started := &process{node: filepath.Base(path), command: exec.Command(program, "--settings", path), output: &outputBuffer{}, exited: make(chan struct{})}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	assert.NilError(l.t, l.begin(started))
	return started
}

func newStartSite(t *testing.T) *startSite {
	t.Helper()
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	site, err := day.Start(ctx, options(processes.launch, 1, 2), day.StandardRoutes())
	if site != nil {
		t.Cleanup(site.Close)
	}
	assert.NilError(t, err)
	assert.NilError(t, site.AwaitReady(ctx))
	return &startSite{t: t, processes: processes, machine: site.Machines[0], before: processOf(t, site.Machines[0])}
}

// settingsPath returns the settings file of the machine.
func (s *startSite) settingsPath() string {
	return filepath.Join(s.processes.directory, s.machine.Name+".yaml")
}

// endPredecessor kills the daemon that runs.
func (s *startSite) endPredecessor() {
	s.before.Kill()
	<-s.before.exited
}

// start starts a daemon on the addresses of its predecessor.
func (s *startSite) start() *process {
	s.t.Helper()
	started := s.processes.run(s.settingsPath())
	started.addresses = s.before.addresses
	return started
}

// awaitReady checks that a daemon lives and is ready within readyBound of the time since which its start
// can go on.
func (s *startSite) awaitReady(running *process, passedAt time.Time) {
	s.t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), passedAt.Add(readyBound))
	defer cancel()
	for !isReady(ctx, running) {
		assert.Assert(s.t, !running.hasExited(), "the process has exited: %s", running.output)
		assert.Assert(s.t, ctx.Err() == nil, "not ready after %s: %s", readyBound, running.output)
		time.Sleep(pollInterval / 20)
	}
	s.t.Logf("ready %s after its start could go on", time.Since(passedAt).Round(time.Millisecond))
}

// isReady reports whether the readiness address of a daemon answers that callers may come.
func isReady(ctx context.Context, running *process) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+running.addresses.Readiness+platform.PathReadiness, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitOutput waits until a process has written text or has exited.
func awaitOutput(t *testing.T, running *process, text string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !running.hasExited() && !strings.Contains(running.output.String(), text); {
		assert.Assert(t, time.Now().Before(end), "no %s: %s", text, running.output)
		time.Sleep(time.Millisecond)
	}
}

func (s *startSite) testTakenAddress(name string) {
	const takenFor = 1500 * time.Millisecond
	s.endPredecessor()
	addresses := s.before.addresses
	address := map[string]string{
		"peer": addresses.Peer, "caller": addresses.Caller, "instances": addresses.Instances,
		"readiness": addresses.Readiness, "metrics": addresses.Metrics,
	}[name]
	taken, err := net.Listen("tcp", address)
	assert.NilError(s.t, err)
	running := s.start()
	if name == "metrics" {
		// Its address is auxiliary: it delays nothing.
		s.awaitReady(running, time.Now())
	}
	for end := time.Now().Add(takenFor); !running.hasExited() && time.Now().Before(end); time.Sleep(pollInterval / 20) {
		if name != "caller" && name != "metrics" {
			_, err := net.Dial("tcp", addresses.Caller)
			assert.Assert(s.t, err != nil, "a caller's connection waits at a daemon that does not serve")
		}
	}
	freedAt := time.Now()
	assert.NilError(s.t, taken.Close())
	s.awaitReady(running, freedAt)
	for running.metric("lapisvane_ready", "") != 1 {
		assert.Assert(s.t, time.Since(freedAt) < readyBound, "no metrics: %s", running.output)
		time.Sleep(pollInterval / 20)
	}
}

// testDrainingPredecessor starts a daemon while its predecessor has half of a caller's request.
func (s *startSite) testDrainingPredecessor() {
	t := s.t
	conn, err := net.Dial("tcp", s.before.addresses.Caller)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /nowhere HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nab")
	assert.NilError(t, err)
	s.before.Stop()
	awaitOutput(t, s.before, "event=daemon.stopping")
	running := s.start()
	awaitOutput(t, running, "event=daemon.start_waiting")
	_, err = fmt.Fprint(conn, "cd")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, s.before.exitStatus(t), "exit status 0")
	s.awaitReady(running, time.Now())
}

// testSettings starts a daemon whose settings file has content, or nothing, or its first half, for a while.
func (s *startSite) testSettings(content []byte, half bool) {
	const notWholeFor = 300 * time.Millisecond
	t := s.t
	s.endPredecessor()
	whole, err := os.ReadFile(s.settingsPath())
	assert.NilError(t, err)
	if half {
		content = whole[:len(whole)/2]
	}
	if content == nil {
		assert.NilError(t, os.Remove(s.settingsPath()))
	} else {
		assert.NilError(t, os.WriteFile(s.settingsPath(), content, 0o600))
	}
	running := s.start()
	select {
	case <-running.exited:
	case <-time.After(notWholeFor):
	}
	assert.NilError(t, os.WriteFile(s.settingsPath(), whole, 0o600))
	s.awaitReady(running, time.Now())
}

func (s *startSite) testStopWhileWaiting() {
	t := s.t
	s.endPredecessor()
	for name, hinder := range map[string]func() (undo func()){
		"address":  s.takePeerAddress,
		"settings": s.hideSettings,
	} {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT} {
			undo := hinder()
			running := s.start()
			awaitOutput(t, running, "event=daemon.start_waiting")
			sentAt := time.Now()
			running.signal(signal)
			assert.Equal(t, running.exitStatus(t), "exit status 0", "%s, %s: %s", name, signal, running.output)
			assert.Assert(t, time.Since(sentAt) < stopBound, "%s, %s", name, signal)
			undo()
		}
	}
}

// takePeerAddress occupies the peer address until undo is called.
func (s *startSite) takePeerAddress() (undo func()) {
	taken, err := net.Listen("tcp", s.before.addresses.Peer)
	assert.NilError(s.t, err)
	return func() { _ = taken.Close() }
}

// hideSettings removes the settings file until undo is called.
func (s *startSite) hideSettings() (undo func()) {
	hidden := s.settingsPath() + ".hidden"
	assert.NilError(s.t, os.Rename(s.settingsPath(), hidden))
	return func() { assert.Check(s.t, os.Rename(hidden, s.settingsPath())) }
}
