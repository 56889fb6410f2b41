package soak_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// dispositions are the signals that a process ignores or catches, as bit sets of /proc/PID/status (see
// proc_pid_status(5)): bit n-1 stands for signal n.
type dispositions struct{ ignored, caught uint64 }

// readDispositions returns the dispositions of a process, and an error if it has ended.
func readDispositions(pid int) (read dispositions, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return read, err
	}
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(line, ":")
		set := map[string]*uint64{"SigIgn": &read.ignored, "SigCgt": &read.caught}[key]
		if set == nil {
			continue
		}
		if *set, err = strconv.ParseUint(strings.TrimSpace(value), 16, 64); err != nil {
			return read, err
		}
	}
	return read, nil
}

// survives reports whether the process ignores or catches a signal, so that it is not ended by it.
func (d dispositions) survives(signal syscall.Signal) bool {
	return (d.ignored|d.caught)>>(signal-1)&1 == 1
}

// handlesHangup reports whether the program has set its disposition for SIGHUP, so that it must survive
// one that is sent from now on. It is true for a process that has ended. Without cgo the runtime's handler,
// which ends the process, cannot be told from the program's: there it is true from the first line on.
func (p *process) handlesHangup() bool {
	read, err := readDispositions(p.command.Process.Pid)
	if err != nil {
		return true
	}
	if !cgoEnabled {
		return read.ignored>>(syscall.SIGHUP-1)&1 == 1 || p.output.String() != ""
	}
	return read.survives(syscall.SIGHUP)
}

// endedByUnhandledHangup reports whether an ended process was ended by a SIGHUP that was sent before the
// program had set its disposition for it, which nothing in the program can prevent.
func (p *process) endedByUnhandledHangup(t *testing.T) bool {
	t.Helper()
	status := p.exitStatus(t)
	p.signalMutex.Lock()
	defer p.signalMutex.Unlock()
	return status == "signal: hangup" && p.hangupUnhandled
}
