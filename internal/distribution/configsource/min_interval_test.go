package configsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
)

// The minimum interval keeps the total rate of all daemons within the source's limit while it
// fails, and is never shorter than a fifth of the bound for a configuration.
func TestMinInterval(t *testing.T) {
	for name, row := range map[string]struct {
		daemons int
		reads   float64
		bound   time.Duration
		want    time.Duration
	}{
		"a small site":         {12, 2000, 2 * time.Second, 400 * time.Millisecond},
		"hundreds of machines": {300, 2000, 2 * time.Second, 400 * time.Millisecond},
		"the rate decides":     {1000, 2000, 2 * time.Second, time.Second},
		"no rate is stated":    {1000, 0, 2500 * time.Millisecond, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			interval := configsource.MinInterval(row.daemons, row.reads, row.bound)
			assert.Equal(t, interval, row.want)
			if row.reads > 0 {
				together := float64(row.daemons) / interval.Seconds()
				assert.Assert(t, together <= row.reads/2, "%.0f polls a second", together)
			}
		})
	}
}

// Several polls fit into the bound even while they fail.
func TestSeveralPollsFitIntoTheBound(t *testing.T) {
	bound := 2 * time.Second
	assert.Assert(t, configsource.MinInterval(1, 0, bound) < bound/2)
}
