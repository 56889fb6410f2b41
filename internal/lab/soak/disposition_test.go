package soak_test

import (
	"debug/buildinfo"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
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

// builtWithCgo reports whether lapisvaned was built with cgo.
func builtWithCgo(t *testing.T) bool {
	t.Helper()
	info, err := buildinfo.ReadFile(program)
	assert.NilError(t, err)
	for _, setting := range info.Settings {
		if setting.Key == "CGO_ENABLED" {
			return setting.Value == "1"
		}
	}
	return false
}
