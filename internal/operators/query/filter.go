package query

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Filter returns the table with only the rows that meet all conditions.
// Errors: OperatorBadCommand for an unknown field or a bad number.
func Filter(table *opapi.Table, conditions []*Condition) (*opapi.Table, error) {
	filtered := &opapi.Table{Columns: table.Columns, Notes: table.Notes}
	tests := make([]rowTest, 0, len(conditions))
	for _, condition := range conditions {
		test, err := compile(table.Columns, condition)
		if err != nil {
			return nil, err
		}
		tests = append(tests, test)
	}
	for _, row := range table.Rows {
		if meetsAll(row, tests) {
			filtered.Rows = append(filtered.Rows, row)
		}
	}
	return filtered, nil
}

// rowTest decides on one row.
type rowTest func(row []string) bool

func meetsAll(row []string, tests []rowTest) bool {
	for _, test := range tests {
		if !test(row) {
			return false
		}
	}
	return true
}

func compile(columns []opapi.Column, condition *Condition) (rowTest, error) {
	for index, column := range columns {
		if column.Name != condition.Field {
			continue
		}
		if condition.Operator == "~" {
			return func(row []string) bool { return strings.Contains(row[index], condition.Value) }, nil
		}
		compare, err := comparison(column, condition.Value)
		if err != nil {
			return nil, err
		}
		return func(row []string) bool { return holds(condition.Operator, compare(row[index])) }, nil
	}
	names := make([]string, 0, len(columns))
	for _, column := range columns {
		names = append(names, column.Name)
	}
	return nil, result.Errorf(result.OperatorBadCommand, "no field %q; there are %s", condition.Field, strings.Join(names, ", "))
}

// comparison returns a function that compares a cell with value.
func comparison(column opapi.Column, value string) (func(cell string) int, error) {
	if !column.Numeric {
		return func(cell string) int { return strings.Compare(cell, value) }, nil
	}
	wanted, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return nil, result.Errorf(result.OperatorBadCommand, "%s is a number, not %q", column.Name, value)
	}
	return func(cell string) int {
		present, _ := strconv.ParseFloat(cell, 64)
		return cmp.Compare(present, wanted)
	}, nil
}

func holds(operator string, order int) bool {
	switch operator {
	case "=":
		return order == 0
	case "!=":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}
