package origin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A daemon that has started again knows none of the earlier instances at the address.
func TestLateFirstHeartbeatDoesNotTakeThePresentInstanceAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startOrigin(t)
		defer stop()
		send := func(instance string, sequence uint64) {
			sent := registration(instance, "127.0.0.1:1")
			sent.Sequence = sequence
			running.Register(sent)
		}
		send("present", 7)
		time.Sleep(500 * time.Millisecond)
		send("earlier", 1)
		for sequence := range uint64(4) {
			time.Sleep(time.Second)
			send("present", 8+sequence)
		}
		assert.DeepEqual(t, readyNames(running), []string{"present"})
	})
}
