package ctl

import (
	"context"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/lapisvane/lapisvane/internal/operators/query"
	"github.com/lapisvane/lapisvane/internal/shared/cli"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// TokenVariable is the environment variable that holds the token if no token file is given.
const TokenVariable = "LAPISVANE_TOKEN"

type controlFlags struct {
	Address   string `short:"a" long:"address" description:"operator address of a daemon, IP:port" default:"127.0.0.1:7500"`
	TokenFile string `long:"token-file" description:"file with the operator's token (else the variable LAPISVANE_TOKEN)"`
	Output    string `short:"o" long:"output" description:"form of the answer" choice:"table" choice:"json" default:"table"`
}

// Main runs the program and returns its exit code: 0 if the command succeeded, 1 if it failed, 2 for
// an invalid command line.
func Main(arguments []string) int {
	options := &controlFlags{}
	parser := flags.NewNamedParser("lapisctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = "[OPTIONS] [COMMAND]"
	parser.LongDescription = "Queries and commands for operators. Without a command it reads commands from standard input.\n\n" + query.HelpText
	if _, err := parser.AddGroup("Options", "", options); err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	rest, code, done := cli.Parse(parser, arguments)
	if done {
		return code
	}
	token, err := readToken(options.TokenFile)
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	session := &Session{
		Client: NewClient(options.Address, token), Format: options.Output, Out: os.Stdout, Err: os.Stderr,
	}
	ctx := context.Background()
	if len(rest) == 0 {
		err = session.Interactive(ctx, os.Stdin)
	} else {
		_, err = session.Execute(ctx, strings.Join(rest, " "))
	}
	if result.Is(err, result.OperatorBadCommand) {
		return cli.Fail(os.Stderr, err, cli.ExitUsage)
	}
	if err != nil {
		return cli.Fail(os.Stderr, err, cli.ExitFailed)
	}
	return cli.ExitOK
}

func readToken(path string) (string, error) {
	if path == "" {
		return os.Getenv(TokenVariable), nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return "", result.Wrap(result.SettingsUnreadable, err, "reading the token")
	}
	return strings.TrimSpace(string(content)), nil
}
