package lab

import (
	"fmt"
	"os"
	"slices"

	"github.com/lapisvane/lapisvane/internal/lab/explain"
)

// explainCommand finds the causes of failed requests in the log lines of several daemons.
type explainCommand struct {
	Request string `long:"request" description:"ID of one request; without it, the failed requests are counted by cause"`
	Files   struct {
		Paths []string `positional-arg-name:"LOG" description:"log files; '-' for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It returns an error if the logs do not
// contain the request.
func (c *explainCommand) Execute([]string) error {
	if len(c.Files.Paths) == 0 {
		return fmt.Errorf("at least one log file is required")
	}
	lines, skipped, err := readLogs(c.Files.Paths)
	if err != nil {
		return err
	}
	journal := explain.NewJournal(lines)
	if c.Request != "" {
		return printRequest(journal, c.Request)
	}
	printSummary(journal, len(lines), skipped)
	return nil
}

// readLogs reads the lines of several files; skipped counts the lines that no daemon wrote. An error
// names the file.
func readLogs(paths []string) (lines []explain.Line, skipped int, err error) {
	for _, path := range paths {
		read, skippedHere, err := readLog(path)
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w", path, err)
		}
		lines = append(lines, read...)
		skipped += skippedHere
	}
	return lines, skipped, nil
}

func readLog(path string) ([]explain.Line, int, error) {
	if path == "-" {
		return explain.Read(os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	return explain.Read(file)
}

// printRequest prints one request's lines in order and the cause of its failure.
func printRequest(journal *explain.Journal, request string) error {
	requestLines := journal.Lines(request)
	if len(requestLines) == 0 {
		return fmt.Errorf("no log line for request %q; successes are sampled, and failures too under load", request)
	}
	for _, line := range requestLines {
		pairs := []any{"at", line.Time.Format("15:04:05.000"), "node", line.Node}
		for _, field := range line.Fields {
			if !slices.Contains([]string{"time", "level", "node", "event", "request"}, field.Key) {
				pairs = append(pairs, field.Key, field.Value)
			}
		}
		results.Info(line.Event, pairs...)
	}
	verdict := journal.Explain(request)
	results.Info("explain.verdict", "request", request, "cause", string(verdict.Cause), "proof", verdict.Proof)
	return nil
}

// printSummary prints the number of failed requests by cause, with an example of each.
func printSummary(journal *explain.Journal, lines, skipped int) {
	failed := journal.Failed()
	counts := map[explain.Cause]int{}
	examples := map[explain.Cause]string{}
	for _, request := range failed {
		cause := journal.Explain(request).Cause
		counts[cause]++
		examples[cause] = request
	}
	causes := make([]explain.Cause, 0, len(counts))
	for cause := range counts {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b explain.Cause) int { return counts[b] - counts[a] })
	for _, cause := range causes {
		results.Info("explain.cause", "cause", string(cause), "requests", counts[cause], "example", examples[cause])
	}
	explained := len(failed) - counts[explain.CauseUnexplained]
	share := 1.0
	if len(failed) > 0 {
		share = float64(explained) / float64(len(failed))
	}
	results.Info("explain.finished", "lines", lines, "skipped", skipped, "failed", len(failed), "explained", explained, "share", share)
}
