package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/lapisvane/lapisvane/internal/operators/query"
)

// Session runs commands one after the other.
type Session struct {
	Client *Client
	Format string
	Out    io.Writer
	Err    io.Writer
}

// Execute runs one command line and prints its answer. quit reports that the
// session should end.
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

// Interactive reads commands from in until its end or quit. Failures are
// printed and do not end the session.
func (s *Session) Interactive(ctx context.Context, in io.Reader) error {
	scanner := bufio.NewScanner(in)
	for {
		_, _ = fmt.Fprint(s.Out, "lapis> ")
		if !scanner.Scan() {
			return scanner.Err()
		}
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		quit, err := s.Execute(ctx, line)
		if err != nil {
			_, _ = fmt.Fprintln(s.Err, err)
		}
		if quit {
			return nil
		}
	}
}
