// Package cli holds what the programs' command lines share: parsing, exit codes, signals.
// It owns the registration of signals of its process and relies on go-flags.
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
	// ExitFailed is for a request that was refused or a check that failed.
	ExitFailed = 1
	// ExitUsage is for a command line or settings that cannot be used.
	ExitUsage = 2
)

// Parse reads the command line into options. done is true when the program
// should end with code, because help was shown or the line is wrong.
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
	// Where the message cannot be written the exit code still says that it failed.
	_, _ = fmt.Fprintln(writer, err)
	return code
}

// Signals are what a process is told by signals. They are caught from CatchSignals on.
type Signals struct {
	stop, force chan struct{}
	reload      chan os.Signal
	repeated    chan os.Signal
}

// pendingSignals is how many signals of a kind are kept until they are read; more of them say
// nothing new.
const pendingSignals = 4

// CatchSignals begins to catch signals. A program calls it once, before it opens a listener: until
// then SIGTERM, SIGINT and SIGHUP end the process, and with it what was accepted.
//
// SIGPIPE is caught and dropped: without that the first line to an output that nobody reads any
// more ends the process. The write then fails with an error.
func CatchSignals() *Signals {
	caught := &Signals{
		stop: make(chan struct{}), force: make(chan struct{}),
		reload: make(chan os.Signal, pendingSignals), repeated: make(chan os.Signal, pendingSignals),
	}
	signal.Notify(caught.reload, syscall.SIGHUP)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	ends := make(chan os.Signal, pendingSignals)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	go caught.follow(ends)
	return caught
}

// follow passes on the signals that end the process, until it ends.
func (s *Signals) follow(ends <-chan os.Signal) {
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

// repeat passes on a signal that changes nothing; where nobody reads these it is dropped.
func (s *Signals) repeat(next os.Signal) {
	select {
	case s.repeated <- next:
	default:
	}
}

// Stop is closed at the first SIGTERM or SIGINT: stop as planned. Further ones change nothing, since
// those who send them do not know of one another: a supervisor that repeats its stop, a terminal
// that signals all processes of a group. When the second one ended the process, 68 requests in 36
// stops got no answer.
func (s *Signals) Stop() <-chan struct{} { return s.stop }

// Force is closed at SIGQUIT: end at once what is in flight.
func (s *Signals) Force() <-chan struct{} { return s.force }

// Reload receives each SIGHUP.
func (s *Signals) Reload() <-chan os.Signal { return s.reload }

// Repeated receives the signals that came during a stop and changed nothing.
func (s *Signals) Repeated() <-chan os.Signal { return s.repeated }
