package metrics

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"gotest.tools/v3/assert"
)

func TestOwnMetricsComeFirst(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	gauge(registry, "lapisvane_b", "b", func() float64 { return 1 })
	gauge(registry, "lapisvane_a", "a", func() float64 { return 1 })
	families, err := ownFirst{registry}.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetName(), "lapisvane_a")
	assert.Equal(t, families[1].GetName(), "lapisvane_b")
	assert.Assert(t, !strings.HasPrefix(families[2].GetName(), ownPrefix))
}
