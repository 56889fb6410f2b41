package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/lapisvane/lapisvane/internal/operators/query"
)

// Session runs commands sequentially. It is not safe for concurrent use.
type Session struct {
	Client *Client
	// Format is OutputTable or OutputJSON.
	Format string
	// Out receives the answers and the prompt, Err the failures.
	Out io.Writer
	Err io.Writer
}

// Execute runs one command and prints its answer. quit is true if the command ends the session.
// Errors: those of query.Parse and Client.Run, and of writing to Out.
func (s *Session) Execute(ctx context.Context, line string) (quit bool, err error) {
	command, err := query.Parse(line)
	if err != nil {
		return false, err
	}
	if command.Quit {
		return true, nil
	}
	table, err := s.Client.Run(ctx, command)
	if err != nil {
		return false, err
	}
	return false, Print(s.Out, table, s.Format)
}

// Interactive reads and runs commands from in until its end or a quit command. Failed commands are
// printed and do not end the session; errors of reading or printing do.
func (s *Session) Interactive(ctx context.Context, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	for {
		if _, err := fmt.Fprint(s.Out, "lapis> "); err != nil {
			return err
		}
		if !scanner.Scan() {
			return scanner.Err()
		}
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		quit, err := s.Execute(ctx, line)
		if err != nil {
			if _, printing := fmt.Fprintln(s.Err, err); printing != nil {
				return printing
			}
		}
		if quit {
			return nil
		}
	}
}
