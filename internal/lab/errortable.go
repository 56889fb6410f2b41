package lab

import (
	"fmt"
	"io"
	"os"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// errorTableCommand prints docs/ERRORS.md.
type errorTableCommand struct{}

// Execute implements flags.Commander.
func (errorTableCommand) Execute([]string) error { return WriteErrorTable(os.Stdout) }

// WriteErrorTable writes the table of result codes as a Markdown page.
func WriteErrorTable(writer io.Writer) error {
	if _, err := fmt.Fprint(writer, errorTableHead); err != nil {
		return err
	}
	for _, entry := range result.Table() {
		if _, err := fmt.Fprintf(writer, "| %d | %s | %s | %s |\n", entry.Code, entry.Name, entry.Meaning, entry.Action); err != nil {
			return err
		}
	}
	return nil
}

const errorTableHead = `# Result codes

Generated from ` + "`internal/shared/result`" + ` by ` + "`lapislab error-table`" + `; a test keeps the two in step.

1xxx settings, 2xxx validation of configuration, 3xxx operator requests,
4xxx distribution, 5xxx calls, 6xxx protocol, 7xxx platform. Callers find the
code in the header ` + "`Lapisvane-Result`" + `, and in ` + "`Lapisvane-Outcome`" + ` whether the call
is ` + "`done`, `not-run` or `unknown`" + `.

| code | name | meaning | what to do |
|---|---|---|---|
`
