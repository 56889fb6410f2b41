// Package lab is the command line of lapislab: stand-ins for the platform, back ends and
// callers, days on the emulated platform, and tools that read the logs of daemons.
//
// It owns no state but the processes' listeners while a command runs; each stand-in has a
// package of its own. It relies on all planes, and nothing but cmd/lapislab relies on it. All
// load goes to the addresses that the command line names, loopback by default.
package lab

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
)

// Main runs the program and returns its exit code: 0 when all that was checked
// held, 1 when a check failed, 2 for a wrong command line.
func Main(arguments []string) int {
	parser := flags.NewNamedParser("lapislab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for the platform, back ends and callers, an emulated platform, and tools that read the logs of daemons. All load goes to loopback addresses."
	commands := []struct {
		name, short string
		command     flags.Commander
	}{
		{"platform", "run the platform stand-in", &platformCommand{}},
		{"backend", "run a back-end stand-in", &backendCommand{}},
		{"calls", "make calls and check their answers", &callsCommand{}},
		{"token", "print the stored form of an operator's token", &tokenCommand{}},
		{"peer-keys", "write keys for mutual TLS between daemons, for trials", &testsite.PeerKeysCommand{}},
		{"emulate", "play days on the emulated platform", &emulateCommand{}},
		{"explain", "tell from log lines what happened to requests", &explainCommand{}},
		{"report", "write a page of what failed, by second and cause, from log lines", &reportCommand{}},
		{"error-table", "print the page of result codes", &errorTableCommand{}},
		{"fault", "switch faults of a running platform stand-in", &faultCommand{}},
	}
	for _, entry := range commands {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.short, entry.command); err != nil {
			return cli.Fail(os.Stderr, err, cli.ExitUsage)
		}
	}
	// failure keeps a command's own failure apart from a wrong command line.
	var failure error
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		failure = command.Execute(rest)
		return nil
	}
	if _, code, done := cli.Parse(parser, arguments); done {
		return code
	}
	if failure != nil {
		return cli.Fail(os.Stderr, failure, cli.ExitFailed)
	}
	return cli.ExitOK
}
