package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestIdleBound(t *testing.T) {
	const keep = 4 * time.Second
	start := time.Unix(1000, 0)
	type breakage struct{ at, idleFor time.Duration }
	for name, row := range map[string]struct {
		broken  []breakage
		after   time.Duration
		idleFor time.Duration
		allowed bool
	}{
		"nothing learned":           {idleFor: 3 * time.Second, allowed: true},
		"as long as it broke":       {broken: []breakage{{0, 300 * time.Millisecond}}, idleFor: 300 * time.Millisecond},
		"shorter than it broke":     {broken: []breakage{{0, 300 * time.Millisecond}}, idleFor: 100 * time.Millisecond, allowed: true},
		"the shortest counts":       {broken: []breakage{{0, 300 * time.Millisecond}, {1, 2 * time.Second}}, idleFor: 200 * time.Millisecond},
		"it is tried again later":   {broken: []breakage{{0, 300 * time.Millisecond}}, after: 11 * time.Second, idleFor: time.Second, allowed: true},
		"the back end's own bound":  {idleFor: 5 * time.Second},
		"a break after long is new": {broken: []breakage{{0, 300 * time.Millisecond}, {11 * time.Second, 2 * time.Second}}, after: 12 * time.Second, idleFor: 900 * time.Millisecond, allowed: true},
	} {
		t.Run(name, func(t *testing.T) {
			bound := &idleBound{}
			for _, broke := range row.broken {
				bound.recordDrop(broke.idleFor, start.Add(broke.at))
			}
			assert.Equal(t, bound.allows(row.idleFor, keep, start.Add(row.after)), row.allowed)
		})
	}
}
