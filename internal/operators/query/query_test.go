package query_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/operators/query"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestParse(t *testing.T) {
	good := []string{
		"show versions", "show proxies where revision < 42 and zone = z-1", `show routes where host ~ "rides.example"`,
		"propose examples/proposal.yaml", "validate /tmp/a-b.yaml", "accept p-EFRID6VGDKWE", "diff 1 2",
		"drain ride-desk/ride-desk-2", "undrain a/b", "retire a/b", "wait in-force 7", "wait in-force 7 for 30s", "help", "quit",
	}
	for _, line := range good {
		_, err := query.Parse(line)
		assert.NilError(t, err, line)
	}
	bad := []string{"", "show", "show everything", "show routes where", "show routes where name", "accept", "diff 1", "diff a b", "drain", "wait 7", "rm -rf /", "show versions; help"}
	for _, line := range bad {
		_, err := query.Parse(line)
		assert.Assert(t, result.Is(err, result.OperatorBadCommand), "%q: %v", line, err)
	}
}

func TestFilter(t *testing.T) {
	table := &opapi.Table{
		Columns: []opapi.Column{{Name: "name"}, {Name: "slots", Numeric: true}},
		Rows:    [][]string{{"a", "9"}, {"b", "10"}, {"ab", "11"}},
	}
	cases := map[string]int{
		"slots > 9": 2, "slots >= 9": 3, "slots < 10": 1, "slots != 10": 2, "name = a": 1, "name ~ a": 2, "name ~ a and slots > 9": 1,
	}
	for condition, expect := range cases {
		command, err := query.Parse("show pools where " + condition)
		assert.NilError(t, err)
		filtered, err := query.Filter(table, command.Show.Conditions)
		assert.NilError(t, err)
		assert.Equal(t, len(filtered.Rows), expect, condition)
	}
	for _, condition := range []string{"colour = red", "slots = many"} {
		command, err := query.Parse("show pools where " + condition)
		assert.NilError(t, err)
		_, err = query.Filter(table, command.Show.Conditions)
		assert.Assert(t, result.Is(err, result.OperatorBadCommand), "%v", err)
	}
}

func TestNonNumericCellOfANumericColumnIsRefused(t *testing.T) {
	table := &opapi.Table{Columns: []opapi.Column{{Name: "slots", Numeric: true}}, Rows: [][]string{{"many"}}}
	command, err := query.Parse("show pools where slots < 1")
	assert.NilError(t, err)
	_, err = query.Filter(table, command.Show.Conditions)
	assert.Assert(t, result.Is(err, result.OperatorRequestMalformed), "%v", err)
}

func FuzzParse(f *testing.F) {
	f.Add("show routes where name = a")
	f.Fuzz(func(t *testing.T, line string) { _, _ = query.Parse(line) })
}
