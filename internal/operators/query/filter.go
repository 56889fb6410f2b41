package query

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Filter returns a table with the rows that meet all conditions. Errors: OperatorBadCommand for an
// unknown field or an invalid number in a condition, OperatorRequestMalformed for an invalid number in
// the table.
func Filter(table *opapi.Table, conditions []*Condition) (*opapi.Table, error) {
	filtered := &opapi.Table{Columns: table.Columns, Notes: table.Notes}
	predicates := make([]rowPredicate, 0, len(conditions))
	for _, condition := range conditions {
		test, err := compile(table.Columns, condition)
		if err != nil {
			return nil, err
		}
		predicates = append(predicates, test)
	}
	for _, row := range table.Rows {
		matched, err := matchesAll(row, predicates)
		if err != nil {
			return nil, err
		}
		if matched {
			filtered.Rows = append(filtered.Rows, row)
		}
	}
	return filtered, nil
}

// rowPredicate reports whether a row meets a condition. Errors: OperatorRequestMalformed for a cell of
// a numeric column that is not a number.
type rowPredicate func(row []string) (bool, error)

func matchesAll(row []string, tests []rowPredicate) (bool, error) {
	for _, test := range tests {
		if matched, err := test(row); err != nil || !matched {
			return false, err
		}
	}
	return true, nil
}

// compile converts a condition to a predicate on rows. Errors: OperatorBadCommand.
func compile(columns []opapi.Column, condition *Condition) (rowPredicate, error) {
	for index, column := range columns {
		if column.Name != condition.Field {
			continue
		}
		if condition.Operator == "~" {
			return func(row []string) (bool, error) { return strings.Contains(row[index], condition.Value), nil }, nil
		}
		compare, err := comparison(column, condition.Value)
		if err != nil {
			return nil, err
		}
		return func(row []string) (bool, error) {
			order, err := compare(row[index])
			return err == nil && operatorAccepts(condition.Operator, order), err
		}, nil
	}
	names := make([]string, 0, len(columns))
	for _, column := range columns {
		names = append(names, column.Name)
	}
	return nil, result.Errorf(result.OperatorBadCommand, "no field %q; there are %s", condition.Field, strings.Join(names, ", "))
}

// comparison returns a function that compares a cell with value and returns a negative number, 0 or a
// positive number for a smaller, equal or larger cell.
func comparison(column opapi.Column, value string) (func(cell string) (int, error), error) {
	if !column.Numeric {
		return func(cell string) (int, error) { return strings.Compare(cell, value), nil }, nil
	}
	wanted, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return nil, result.Errorf(result.OperatorBadCommand, "%s is a number, not %q", column.Name, value)
	}
	return func(cell string) (int, error) {
		present, err := strconv.ParseFloat(cell, 64)
		if err != nil {
			return 0, result.Wrap(result.OperatorRequestMalformed, err, "column %s of the answer", column.Name)
		}
		return cmp.Compare(present, wanted), nil
	}, nil
}

// operatorAccepts reports whether a comparison with result order satisfies operator.
func operatorAccepts(operator string, order int) bool {
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
