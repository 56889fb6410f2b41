package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleBound(t *testing.T) {
	const keep = 4 * time.Second
	start := time.Unix(1000, 0)
	type drop struct{ at, idleFor time.Duration }
	for name, row := range map[string]struct {
		drops   []drop
		after   time.Duration
		idleFor time.Duration
		allowed bool
	}{
		"no drop recorded":                       {idleFor: 3 * time.Second, allowed: true},
		"same idle time as the drop":             {drops: []drop{{0, 300 * time.Millisecond}}, idleFor: 300 * time.Millisecond},
		"less than half of the drop's idle time": {drops: []drop{{0, 300 * time.Millisecond}}, idleFor: 100 * time.Millisecond, allowed: true},
		"the lowest bound applies":               {drops: []drop{{0, 300 * time.Millisecond}, {1, 2 * time.Second}}, idleFor: 200 * time.Millisecond},
		"the bound has expired":                  {drops: []drop{{0, 300 * time.Millisecond}}, after: 11 * time.Second, idleFor: time.Second, allowed: true},
		"the back end's own bound":               {idleFor: 5 * time.Second},
		"a drop after the bound expired":         {drops: []drop{{0, 300 * time.Millisecond}, {11 * time.Second, 2 * time.Second}}, after: 12 * time.Second, idleFor: 900 * time.Millisecond, allowed: true},
	} {
		t.Run(name, func(t *testing.T) {
			bound := &idleBound{}
			for _, drop := range row.drops {
				bound.recordDrop(drop.idleFor, start.Add(drop.at))
			}
			assert.Equal(t, bound.allows(row.idleFor, keep, start.Add(row.after)), row.allowed)
		})
	}
}
