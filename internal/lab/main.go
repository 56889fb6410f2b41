// Package lab is the command line of lapislab: stand-ins for the platform, back ends and
// callers, days on the emulated platform, and tools that read the logs of daemons.
//
// Each stand-in has its own package; a command holds listeners only while it runs. Only
// cmd/lapislab imports this package. All load goes to the addresses given on the command line,
// loopback by default.
package lab

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/lab/testsite"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
)

// Main runs the program and returns its exit code: 0 if all checks passed, 1 if
// a check failed, 2 for an invalid command line.
func Main(arguments []string) int {
	parser := flags.NewNamedParser("lapislab", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Stand-ins for the platform, back ends and callers, an emulated platform, and tools that read the logs of daemons. All load goes to loopback addresses."
	commands := []struct {
		name, short string
		command     flags.Commander
	}{
		{"platform", "run the platform stand-in", &platformCommand{}},
		{"backend", "run a back-end stand-in", &backendCommand{}},
		{"calls", "send calls to a daemon and check the answers", &callsCommand{}},
		{"token", "print the stored form of an operator's token", &tokenCommand{}},
		{"peer-keys", "write keys for mutual TLS between daemons, for tests", &testsite.PeerKeysCommand{}},
		{"emulate", "play days on the emulated platform", &emulateCommand{}},
		{"explain", "find the causes of failed requests in log lines", &explainCommand{}},
		{"report", "write an HTML page of failed requests by second and cause, from log lines", &reportCommand{}},
		{"error-table", "print the table of result codes in Markdown", &errorTableCommand{}},
		{"fault", "set the faults of a running platform stand-in", &faultCommand{}},
	}
	for _, entry := range commands {
		if _, err := parser.AddCommand(entry.name, entry.short, entry.short, entry.command); err != nil {
			return cli.Fail(os.Stderr, err, cli.ExitUsage)
		}
	}
	// failure is the error of a command, which has another exit code than an invalid command line.
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
