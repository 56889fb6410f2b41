package balance_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// BenchmarkPick measures the selection of an instance for several kinds of routes and pool sizes.
func BenchmarkPick(b *testing.B) {
	for name, row := range map[string]struct {
		instances int
		choice    balance.Choice
	}{
		"with target/6":    {6, balance.Choice{Route: route, TargetLatency: target, Bytes: 5000}},
		"with target/40":   {40, balance.Choice{Route: route, TargetLatency: target, Bytes: 5000}},
		"without target/6": {6, balance.Choice{Route: route}},
		"with key/6":       {6, balance.Choice{Route: route, TargetLatency: target, Key: "key"}},
		"constrained/6":    {6, balance.Choice{Route: route, TargetLatency: target, Constraints: []balance.Constraint{evacuated("b")}}},
	} {
		b.Run(name, func(b *testing.B) {
			zones := make([]string, row.instances)
			for index := range zones {
				zones[index] = []string{"a", "b", "c"}[index%3]
			}
			p := newPool(zones...)
			for _, instance := range p.Targets("desk") {
				instance.RecordAnswer(route, serviceTime, p.clock.now)
				instance.RecordLoad(0.5, p.clock.now)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := p.Pick(p.service, row.choice)
				assert.NilError(b, err)
			}
		})
	}
}
