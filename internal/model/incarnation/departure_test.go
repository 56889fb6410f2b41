package incarnation_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
)

func TestNamesOfDeparturesAreParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		departure := incarnation.Departure{
			Incarnation: incarnation.Incarnation{ID: rapid.SampledFrom([]string{"i-1", "i-1@5", "i-1@until-5", "@until-", "i-1@until-5@0", ""}).Draw(t, "id"), StartUnixMillis: rapid.Uint64().Draw(t, "start")},
			Until:       rapid.Bool().Draw(t, "until"),
		}
		assert.Equal(t, incarnation.ParseDeparture(departure.Name()), departure)
	})
}

func TestDeparturesCoverIncarnations(t *testing.T) {
	for name, row := range map[string]struct {
		departure string
		covered   []string
		not       []string
	}{
		"of one incarnation":  {"i-1@5", []string{"i-1@5", "i-1"}, []string{"i-1@4", "i-1@6", "i-2@5", "i-2"}},
		"without a start":     {"i-1", []string{"i-1"}, []string{"i-1@5", "i-2"}},
		"of all until a time": {"i-1@until-5", []string{"i-1@5", "i-1@4", "i-1"}, []string{"i-1@6", "i-2@4", "i-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			departure := incarnation.ParseDeparture(row.departure)
			for _, covered := range row.covered {
				assert.Check(t, departure.Covers(incarnation.Parse(covered)), covered)
			}
			for _, not := range row.not {
				assert.Check(t, !departure.Covers(incarnation.Parse(not)), not)
			}
		})
	}
}

func TestDeparturesEndEarlierIncarnations(t *testing.T) {
	for name, row := range map[string]struct {
		departure string
		ended     []string
		not       []string
	}{
		"of one incarnation":  {"i-1@5", []string{"i-1@5", "i-1@4", "i-1@1", "i-1"}, []string{"i-1@6", "i-2@4", "i-2"}},
		"without a start":     {"i-1", []string{"i-1"}, []string{"i-1@5", "i-2"}},
		"of all until a time": {"i-1@until-5", []string{"i-1@5", "i-1@4", "i-1"}, []string{"i-1@6", "i-2@4", "i-2"}},
	} {
		t.Run(name, func(t *testing.T) {
			departure := incarnation.ParseDeparture(row.departure)
			for _, ended := range row.ended {
				assert.Check(t, departure.Ends(incarnation.Parse(ended)), ended)
			}
			for _, not := range row.not {
				assert.Check(t, !departure.Ends(incarnation.Parse(not)), not)
			}
		})
	}
}
