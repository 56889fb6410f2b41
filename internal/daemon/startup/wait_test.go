package startup

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// systemError returns an error as net.Listen returns it, in a numbered error.
func systemError(number syscall.Errno) error {
	return result.Wrap(result.SettingsAddressUnavailable, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", number)}, "key")
}

func TestWhichErrorsPass(t *testing.T) {
	for number, want := range map[syscall.Errno]bool{
		syscall.EADDRINUSE: true, syscall.EADDRNOTAVAIL: true, syscall.EMFILE: true, syscall.ENFILE: true,
		syscall.ENOMEM: true, syscall.ENOBUFS: true, syscall.EAGAIN: true, syscall.EINTR: true,
		syscall.EACCES: false, syscall.EPERM: false, syscall.EINVAL: false, syscall.EAFNOSUPPORT: false, syscall.ENOENT: false,
	} {
		var failed *Error
		assert.Assert(t, errors.As(Failed("step", "subject", systemError(number)), &failed))
		assert.Equal(t, failed.Transient, want, "%v", number)
	}
	var failed *Error
	assert.Assert(t, errors.As(Failed("step", "subject", result.Errorf(result.SettingsMissing, "node")), &failed))
	assert.Assert(t, !failed.Transient)
	assert.NilError(t, Failed("step", "subject", nil))
}

func TestDelayDoublesUpToItsMaximum(t *testing.T) {
	backoff := Backoff{First: 5 * time.Millisecond, Max: 35 * time.Millisecond}
	for failures, want := range map[int]time.Duration{1: 5, 2: 10, 3: 20, 4: 35, 5: 35, 1 << 40: 35} {
		assert.Equal(t, backoff.Delay(failures), want*time.Millisecond, "%d", failures)
	}
}

// waiter returns a Waiter with a limit of a second that counts the lines it logs.
func waiter(lines *int) (waiting *Waiter, stop chan struct{}) {
	stop = make(chan struct{})
	logger := funcr.New(func(string, string) { *lines++ }, funcr.Options{})
	return &Waiter{Stop: stop, Force: make(chan struct{}), Logger: logger, Began: time.Now(), Limit: time.Second}, stop
}

func TestTransientFailuresAreRepeatedUntilTheLimit(t *testing.T) {
	taken := Failed("peer_address", "a", systemError(syscall.EADDRINUSE))
	otherTaken := Failed("caller_address", "b", systemError(syscall.EADDRINUSE))
	synctest.Test(t, func(t *testing.T) {
		lines, attempts := 0, 0
		waiting, _ := waiter(&lines)
		assert.NilError(t, waiting.Do(func() error {
			attempts++
			return []error{taken, otherTaken, taken, otherTaken, nil}[attempts-1]
		}))
		assert.Equal(t, time.Since(waiting.Began), 75*time.Millisecond)
		assert.Equal(t, lines, 3, "one line for each step that waits, and one at the end")
		err := waiting.Do(func() error { attempts++; return taken })
		var failed *Error
		assert.Assert(t, errors.As(err, &failed) && failed.Expired)
		assert.Equal(t, time.Since(waiting.Began), time.Second)
		assert.Assert(t, attempts < 25, "%d", attempts)
		assert.Assert(t, !taken.(*Error).Expired)
	})
}

func TestPermanentFailuresAreNotRepeated(t *testing.T) {
	lines, attempts := 0, 0
	waiting, _ := waiter(&lines)
	denied := Failed("peer_address", "a", systemError(syscall.EACCES))
	assert.Equal(t, waiting.Do(func() error { attempts++; return denied }), denied)
	assert.Equal(t, attempts, 1)
	assert.Equal(t, lines, 0)
	waiting = nil
	taken := Failed("peer_address", "a", systemError(syscall.EADDRINUSE))
	assert.Equal(t, waiting.Do(func() error { return taken }), taken, "no Waiter, one attempt")
}

func TestStopSignalEndsAStart(t *testing.T) {
	taken := Failed("peer_address", "a", systemError(syscall.EADDRINUSE))
	synctest.Test(t, func(t *testing.T) {
		lines, attempts := 0, 0
		waiting, stop := waiter(&lines)
		time.AfterFunc(301*time.Millisecond, func() { close(stop) })
		attempt := func() error { attempts++; return taken }
		assert.Equal(t, waiting.Do(attempt), ErrStopped)
		assert.Equal(t, time.Since(waiting.Began), 301*time.Millisecond)
		before := attempts
		assert.Equal(t, waiting.Do(attempt), ErrStopped)
		assert.Equal(t, attempts, before, "nothing is opened after a stop signal")
	})
}
