package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The wait between two lists stays at its longest however long the daemon runs. It grew
// until the number that holds it overflowed: the daemon then listed the
// directory without any wait, 10 minutes after its start.
func TestDirectoryIsListedSeldomByALongRunningDaemon(t *testing.T) {
	for name, schedule := range map[string]*listSchedule{"listed at its start": newListSchedule(), "published": {relist: relistMin}} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				schedule.afterSuccess(12)
			}
			for range 500 {
				assert.Equal(t, schedule.afterSuccess(12), directoryInterval)
			}
		})
	}
}
