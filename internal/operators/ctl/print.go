package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
)

// Output formats.
const (
	OutputTable = "table"
	OutputJSON  = "json"
)

// Print writes a table in the given format.
func Print(writer io.Writer, table *opapi.Table, format string) error {
	if format == OutputJSON {
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(table)
	}
	return printTable(writer, table)
}

// printTable writes the table with aligned columns, then its notes. The tabwriter buffers its input in
// memory, so that only Flush can fail.
func printTable(writer io.Writer, table *opapi.Table) error {
	if len(table.Columns) > 0 {
		aligned := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
		names := make([]string, 0, len(table.Columns))
		for _, column := range table.Columns {
			names = append(names, strings.ToUpper(column.Name))
		}
		fmt.Fprintln(aligned, strings.Join(names, "\t"))
		for _, row := range table.Rows {
			fmt.Fprintln(aligned, strings.Join(row, "\t"))
		}
		if err := aligned.Flush(); err != nil {
			return err
		}
	}
	for _, note := range table.Notes {
		if _, err := fmt.Fprintln(writer, note); err != nil {
			return err
		}
	}
	return nil
}
