// Package soak_test plays days with daemons that run as separate processes: the built lapisvaned,
// stopped by signals, with the kernel's sockets and buffers between it and its callers. The store,
// the instances and the callers are the emulator's and run in the test process.
//
// The tests signal only the processes that they started, by process ID.
package soak_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// program is the path of the built lapisvaned.
var program string

// TestMain builds lapisvaned once for all tests. It catches SIGHUP, which is reset for the processes that it
// starts: an ignored one is inherited, and hides each process that a SIGHUP would end.
func TestMain(m *testing.M) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	flag.Parse()
	directory, err := os.MkdirTemp("", "lapisvane-soak-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(directory, "lapisvaned")
	build := exec.Command("go", "build", fmt.Sprintf("-race=%t", *raceEnabled), "-o", program, "github.com/lapisvane/lapisvane/cmd/lapisvaned")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building lapisvaned: %v\n%s", err, output))
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a running or ended lapisvaned. It implements day.Process.
type process struct {
	node      string
	command   *exec.Cmd
	addresses daemon.Addresses
	output    *outputBuffer
	exited    chan struct{}
	// signalMutex protects hangupUnhandled and is held while a signal is sent.
	signalMutex sync.Mutex
	// hangupUnhandled is true if the last SIGHUP was sent before the program handled it.
	hangupUnhandled bool
	// waitError is the error of Wait, nil for exit status 0. It is valid once exited is closed.
	waitError error
	// peakMemory is the highest resident memory in kB that was read while the process ran.
	peakMemory atomic.Int64
}

// outputBuffer records the output of a process. It is safe for concurrent use.
type outputBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (l *outputBuffer) Write(piece []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.Write(piece)
}

func (l *outputBuffer) String() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.text.String()
}

// launcher starts processes and kills those that still run when the test ends.
type launcher struct {
	t         *testing.T
	directory string
	// output receives the output of the processes; nil to record it in outputBuffer.
	output *os.File
	// blockedOutput holds the nodes whose standard output is a pipe that is never read.
	blockedOutput map[string]bool
	mutex         sync.Mutex
	started       []*process
}

func newLauncher(t *testing.T) *launcher {
	created := &launcher{t: t, directory: t.TempDir()}
	t.Cleanup(created.killAll)
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
	path := l.settingsPath(config.Node)
	// The settings file is YAML, which includes JSON.
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	started := &process{
		node: config.Node, command: exec.Command(program, "--settings", path), output: &outputBuffer{}, exited: make(chan struct{}),
		addresses: daemon.Addresses{
			Peer: config.PeerAddress, Caller: config.CallerAddress, Metrics: config.MetricsAddress,
			Instances: config.InstanceAddress, Readiness: config.ReadinessAddress,
		},
	}
	started.command.Stdout, started.command.Stderr = started.output, started.output
	if l.blockedOutput[config.Node] {
		// The pipe is never read, so writes block once it is full.
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
	if err := l.begin(started); err != nil {
		return nil, err
	}
	return started, nil
}

// begin starts the process and follows it until it exits.
func (l *launcher) begin(started *process) error {
	// A data race ends a process that is built with the race detector, with a status of its own.
	started.command.Env = append(os.Environ(), "GORACE=halt_on_error=1 exitcode=66")
	// The kernel kills the process when the test process ends.
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(started.exited)
		started.waitError = started.command.Wait()
	}()
	go started.watchMemory()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.started = append(l.started, started)
	return nil
}

// settingsPath returns the path of a node's settings file.
func (l *launcher) settingsPath(node string) string { return filepath.Join(l.directory, node+".yaml") }

// panicMarks are in the output of a process that panicked, whether it ended or contained the panic.
var panicMarks = []string{"panic:", "fatal error:", "event=panic.contained", "event=call.panicked", "event=origin.panicked", "DATA RACE"}

// checkPanics fails the test for each process that panicked.
func (l *launcher) checkPanics() {
	for _, started := range l.started {
		output := started.output.String()
		for _, mark := range panicMarks {
			if at := strings.Index(output, mark); at >= 0 {
				l.t.Errorf("%s: %s", started.node, output[at:min(len(output), at+maxPanicText)])
				break
			}
		}
	}
}

// maxPanicText bounds the printed part of a panic, in bytes.
const maxPanicText = 4000

// killAll kills the processes that still run, and logs the output of each with -soak.verbose. No process may
// have panicked.
func (l *launcher) killAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, started := range l.started {
		started.Kill()
		<-started.exited
		if *verbose {
			l.t.Log(started.output)
		}
	}
	l.checkPanics()
}

// memoryPollInterval is the interval between two reads of the peak memory of a process.
const memoryPollInterval = 100 * time.Millisecond

// watchMemory reads the peak memory of the process until it exits.
func (p *process) watchMemory() {
	for p.readPeakMemory(); !p.hasExited(); p.readPeakMemory() {
		time.Sleep(memoryPollInterval)
	}
}

// readPeakMemory records the peak resident memory of the process, unless it has exited. The kernel's
// account of an ended process can't be used: it includes the memory of the test process until exec.
func (p *process) readPeakMemory() {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	if kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(line, "kB")), 10, 64); err == nil {
		p.peakMemory.Store(max(p.peakMemory.Load(), kilobytes))
	}
}

// peakMemory returns the highest resident memory in kB of all processes started so far, and of which
// node it is.
func (l *launcher) peakMemory() (kilobytes int64, node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, started := range l.started {
		if peak := started.peakMemory.Load(); peak > kilobytes {
			kilobytes, node = peak, started.node
		}
	}
	return kilobytes, node
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(signal os.Signal) {
	p.signalMutex.Lock()
	defer p.signalMutex.Unlock()
	if !p.hasExited() {
		p.readPeakMemory()
		if signal == syscall.SIGHUP {
			p.noteHangup()
		}
		// The process may exit before the signal is sent; the error is ignored.
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitStatus waits for the process to exit and returns its exit status or the signal that ended it.
func (p *process) exitStatus(t *testing.T) string {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatalf("the process has not exited:\n%s", p.output)
	}
	if p.waitError == nil {
		return "exit status 0"
	}
	return p.waitError.Error()
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

// Evacuated implements day.Process. It is always false because the soak evacuates no zone.
func (p *process) Evacuated(string) bool { return false }

// Stop implements day.Process.
func (p *process) Stop() { p.signal(syscall.SIGTERM) }

// Kill implements day.Process.
func (p *process) Kill() { p.signal(syscall.SIGKILL) }

// Done implements day.Process.
func (p *process) Done() <-chan struct{} { return p.exited }

// CutCalls implements day.Process. The exit status shows only whether calls were cut, so it returns 0
// or 1.
func (p *process) CutCalls() int64 {
	if p.waitError != nil {
		return 1
	}
	return 0
}

// metric returns the value of a gauge, for the given service unless that is empty. It returns 0 if
// the process does not answer or does not have the gauge.
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
		if service == "" || hasServiceLabel(sample, service) {
			return sample.GetGauge().GetValue()
		}
	}
	return 0
}

// hasServiceLabel reports whether a sample has the given service as its label.
func hasServiceLabel(sample *dto.Metric, service string) bool {
	for _, label := range sample.GetLabel() {
		if label.GetName() == "service" && label.GetValue() == service {
			return true
		}
	}
	return false
}

// processOf returns the process of a machine's daemon, which must be running.
func processOf(t *testing.T, machine *day.Machine) *process {
	t.Helper()
	running, isProcess := machine.Daemon().(*process)
	assert.Assert(t, isProcess)
	return running
}
