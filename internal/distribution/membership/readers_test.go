package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
)

func TestBestReaderHasTheLargestSubtreeOfTheZone(t *testing.T) {
	cases := []struct {
		name     string
		children []membership.Child
		want     int
		found    bool
	}{
		{"no children", nil, 0, false},
		{"largest subtree", []membership.Child{{Node: "a", Zone: "z", Expected: 1}, {Node: "b", Zone: "z", Expected: 3}, {Node: "c", Zone: "z", Expected: 2}}, 1, true},
		{"smaller name on a tie", []membership.Child{{Node: "b", Zone: "z", Expected: 3}, {Node: "a", Zone: "z", Expected: 3}}, 1, true},
		{"other zone left out", []membership.Child{{Node: "a", Zone: "y", Expected: 9}, {Node: "b", Zone: "z", Expected: 1}}, 1, true},
		{"child without seats left out", []membership.Child{{Node: "a", Zone: "z", Expected: 9, NoSeat: true}, {Node: "b", Zone: "z", Expected: 1}}, 1, true},
		{"child with an offer left out", []membership.Child{{Node: "a", Zone: "z", Expected: 9, Offered: true}}, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			index, found := membership.BestReader(test.children, "z")
			assert.Equal(t, found, test.found)
			assert.Equal(t, index, test.want)
		})
	}
}

func TestReadersAreNamedByDistance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var readers []*lapisv1.PeerAddress
		own := 0
		for index := range rapid.IntRange(0, 20).Draw(rt, "readers") {
			zone := rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(rt, "zone")
			region := map[string]string{"z1": "r1", "z2": "r1", "z3": "r2"}[zone]
			readers = append(readers, &lapisv1.PeerAddress{Node: fmt.Sprint(index), Zone: zone, Region: region})
			if zone == "z1" {
				own++
			}
		}
		named := membership.SelectReaders(readers, "z1", "r1", rand.Shuffle)
		assert.Equal(rt, len(named), own+min(len(readers)-own, 4), "want all of the zone and at most four others")
		previous := 0
		for index, reader := range named {
			distance := map[string]int{"z1": 0, "z2": 1, "z3": 2}[reader.GetZone()]
			assert.Assert(rt, distance >= previous, "%d of %v", index, named)
			previous = distance
		}
	})
}
