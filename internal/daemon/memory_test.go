package daemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
)

func TestInputBudgetIsPartOfTheMachinesMemory(t *testing.T) {
	assert.Equal(t, inputBytes(&settings.Daemon{}), int64(gateway.DefaultInputBytes))
	assert.Equal(t, inputBytes(&settings.Daemon{MemoryMegabytes: 128}), int64(16<<20))
}
