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

// readDispositions returns the dispositions of a process. Errors: os.ErrProcessDone and others if it has
// ended; the runtime resets a disposition before it ends the process by the signal.
func readDispositions(pid int) (read dispositions, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return read, err
	}
	for line := range strings.Lines(string(status)) {
		key, value, _ := strings.Cut(line, ":")
		if key == "State" && strings.HasPrefix(value, "\tZ") {
			return read, os.ErrProcessDone
		}
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

// noteHangup records, before a SIGHUP is sent, whether the program handles it. Nothing changes for a
// process that has ended.
func (p *process) noteHangup() {
	if handled, err := p.handlesHangup(); err == nil {
		p.hangupUnhandled = !handled
	}
}

// handlesHangup reports whether the program has set its disposition for SIGHUP, so that it must survive
// one that is sent from now on. It returns an error for a process that has ended. Without cgo the runtime's
// handler, which ends the process, cannot be told from the program's: there it is true from the first line
// on.
func (p *process) handlesHangup() (bool, error) {
	read, err := readDispositions(p.command.Process.Pid)
	if err != nil {
		return false, err
	}
	if !cgoEnabled {
		return read.ignored>>(syscall.SIGHUP-1)&1 == 1 || p.output.String() != "", nil
	}
	return read.survives(syscall.SIGHUP), nil
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
