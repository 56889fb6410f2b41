package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestTimeGoesOnWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := 7 * time.Hour
		defer Use(func() time.Duration { return gap })()
		began := Now()
		time.Sleep(time.Second)
		assert.Equal(t, Since(began), time.Second)
		gap += 5 * time.Second
		time.Sleep(refreshInterval)
		assert.Equal(t, Since(began), 6*time.Second+refreshInterval)
		assert.Equal(t, Until(began.Add(10*time.Second)), 4*time.Second-refreshInterval)
		assert.Equal(t, Suspended(), 5*time.Second)
	})
}

// A single long reading, from a thread preempted between the reads of the two clocks, does not count as
// a suspension.
func TestOneLongReadingIsNoSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		readings := 0
		defer Use(func() time.Duration {
			if readings++; readings%2 == 0 {
				return time.Second
			}
			return 0
		})()
		for range 10 {
			time.Sleep(refreshInterval)
			assert.Equal(t, Suspended(), time.Duration(0))
		}
	})
}

func TestTimeNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer Use(func() time.Duration { return gap })()
		gap = 10 * time.Second
		time.Sleep(refreshInterval)
		before := Now()
		gap = 0
		time.Sleep(refreshInterval)
		assert.Assert(t, Now().After(before))
	})
}

func TestKernelClocksAreRead(t *testing.T) {
	first := kernelGap()
	assert.Assert(t, kernelGap()-first < time.Minute)
	assert.Assert(t, first >= -time.Minute)
}
