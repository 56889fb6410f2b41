package daemon

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
)

func TestInputBudgetIsPartOfTheMachinesMemory(t *testing.T) {
	assert.Equal(t, inputBytes(&settings.Daemon{}), int64(gateway.DefaultInputBytes))
	assert.Equal(t, inputBytes(&settings.Daemon{MemoryMegabytes: 128}), int64(16<<20))
}

// Guards against an end of the process at the first connection of a caller, by a limit below zero.
func TestHugeNumbersOfTheSettingsLimitNothing(t *testing.T) {
	for _, huge := range []float64{1 << 50, 1e18, 9.3e18, 1e300, math.MaxFloat64} {
		values := &settings.Daemon{MaxDescriptors: huge, MemoryMegabytes: huge}
		assert.Check(t, maxCallerConnections(values, 0) >= 1<<30, "%g: %d connections", huge, maxCallerConnections(values, 0))
		assert.Check(t, inputBytes(values) >= 1<<40, "%g: %d bytes", huge, inputBytes(values))
	}
}

func TestCallerConnectionsAreLimitedByDescriptorsAndMemory(t *testing.T) {
	for name, row := range map[string]struct {
		settings    settings.Daemon
		descriptors int64
		want        int
	}{
		"nothing known":         {settings.Daemon{}, 0, 0},
		"system's descriptors":  {settings.Daemon{}, 1024, 768},
		"settings come first":   {settings.Daemon{MaxDescriptors: 4100}, 1 << 20, 3075},
		"memory is scarcer":     {settings.Daemon{MemoryMegabytes: 128, MaxDescriptors: 4100}, 1024, 2048},
		"only memory is known":  {settings.Daemon{MemoryMegabytes: 128}, 0, 2048},
		"a machine of the site": {settings.Daemon{MemoryMegabytes: 284, MaxDescriptors: 4100}, 0, 3075},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, maxCallerConnections(&row.settings, row.descriptors), row.want)
		})
	}
}
