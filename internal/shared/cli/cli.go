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

// Signals returns a channel that is closed at the first SIGTERM or SIGINT (stop as planned) and
// one that is closed at the second (stop at once). It is called once in a process.
func Signals() (stop, force <-chan struct{}) {
	first := make(chan struct{})
	second := make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-received
		close(first)
		<-received
		close(second)
	}()
	return first, second
}
