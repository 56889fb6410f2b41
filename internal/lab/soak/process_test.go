// Package soak_test plays days with daemons that are processes of their own: lapisvaned as it is
// built and run, ended by signals, with the sockets and buffers of the kernel between it and its
// callers. The store, the instances and the callers are the emulator's and run in the test.
//
// It owns the processes that it starts and ends them by their ids.
package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// program is the built lapisvaned.
var program string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "lapisvane-soak-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "lapisvaned")
	build := exec.Command("go", "build", "-o", program, "github.com/lapisvane/lapisvane/cmd/lapisvaned")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building lapisvaned: %v\n%s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is one lapisvaned. It implements day.Process.
type process struct {
	command   *exec.Cmd
	addresses daemon.Addresses
	output    *lines
	ended     chan struct{}
	// wait is how the process ended, valid once ended is closed.
	wait error
}

// lines is what a process has written.
type lines struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(piece []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(piece)
}

func (l *lines) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// launcher starts processes, and remembers them for their ends.
type launcher struct {
	t         *testing.T
	directory string
	// output replaces the recording of what processes write; nil for that.
	output *os.File
	// blocked are the nodes whose output is a pipe that nobody reads.
	blocked map[string]bool
	mutex   sync.Mutex
	started []*process
}

func newLauncher(t *testing.T) *launcher {
	created := &launcher{t: t, directory: t.TempDir()}
	t.Cleanup(created.endAll)
	return created
}

// launch implements day.Launch.
func (l *launcher) launch(config *settings.Daemon, _ logr.Logger) (day.Process, error) {
	host, _, _ := strings.Cut(config.CallerAddress, ":")
	config.MetricsAddress = host + ":20100"
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.directory, config.Node+".yaml")
	// The settings file is YAML, of which JSON is a part.
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	started := &process{
		command: exec.Command(program, "--settings", path), output: &lines{}, ended: make(chan struct{}),
		addresses: daemon.Addresses{
			Peer: config.PeerAddress, Caller: config.CallerAddress, Metrics: config.MetricsAddress,
			Instances: config.InstanceAddress, Readiness: config.ReadinessAddress,
		},
	}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	if l.blocked[config.Node] {
		// Nobody reads what it writes.
		reader, writer, err := os.Pipe()
		if err != nil {
			return nil, err
		}
		started.command.Stdout = writer
		defer func() { _ = writer.Close() }()
		l.t.Cleanup(func() { _ = reader.Close() })
	}
	if l.output != nil {
		started.command.Stdout, started.command.Stderr = l.output, l.output
	}
	// A process does not outlast the test that started it.
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(started.ended)
		started.wait = started.command.Wait()
	}()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.started = append(l.started, started)
	return started, nil
}

// endAll kills what still runs, and prints what each process wrote where that is asked for.
func (l *launcher) endAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, started := range l.started {
		started.Kill()
		<-started.ended
		if *verbose {
			l.t.Log(started.output)
		}
	}
}

// signal sends a signal; a process that has ended gets none.
func (p *process) signal(signal os.Signal) {
	if !p.hasEnded() {
		// One that ends meanwhile gets none.
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// exit returns how the process ended.
func (p *process) exit(t *testing.T) string {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(patience):
		t.Fatalf("the process is still there:\n%s", p.output)
	}
	if p.wait == nil {
		return "exit status 0"
	}
	return p.wait.Error()
}

// Addresses implements day.Process.
func (p *process) Addresses() daemon.Addresses { return p.addresses }

// Revision implements day.Process.
func (p *process) Revision() uint64 { return uint64(p.metric("lapisvane_revision_in_force", "")) }

// ReadyEndpoints implements day.Process.
func (p *process) ReadyEndpoints(service string) int {
	return int(p.metric("lapisvane_endpoints_ready", service))
}

// Quarantined implements day.Process.
func (p *process) Quarantined() int { return int(p.metric("lapisvane_requests_quarantined", "")) }

// Evacuated implements day.Process; the soak gives no such orders.
func (p *process) Evacuated(string) bool { return false }

// Stop implements day.Process.
func (p *process) Stop() { p.signal(syscall.SIGTERM) }

// Kill implements day.Process.
func (p *process) Kill() { p.signal(syscall.SIGKILL) }

// Ended implements day.Process.
func (p *process) Ended() <-chan struct{} { return p.ended }

// Cut implements day.Process: the process tells only that it cut calls.
func (p *process) Cut() int64 {
	if p.wait != nil {
		return 1
	}
	return 0
}

// metric returns the value of a gauge, that of a service where one is named; 0 where the
// process does not answer.
func (p *process) metric(name, service string) float64 {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + p.addresses.Metrics + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil || families[name] == nil {
		return 0
	}
	for _, sample := range families[name].GetMetric() {
		if service == "" || labelled(sample, service) {
			return sample.GetGauge().GetValue()
		}
	}
	return 0
}

func labelled(sample *dto.Metric, service string) bool {
	for _, label := range sample.GetLabel() {
		if label.GetName() == "service" && label.GetValue() == service {
			return true
		}
	}
	return false
}

// processOf returns the process of a machine's daemon.
func processOf(t *testing.T, machine *day.Machine) *process {
	t.Helper()
	running, isProcess := machine.Daemon().(*process)
	assert.Assert(t, isProcess)
	return running
}
