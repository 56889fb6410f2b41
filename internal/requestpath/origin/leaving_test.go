package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A call that waited already when the daemon began to stop starts only if its whole time
// is over before the daemon ends; it stays proved not to have run.
func TestLeavingDaemonStartsNoWaitingCallThatOutlastsIt(t *testing.T) {
	for lasts, code := range map[time.Duration]result.Code{
		10 * time.Second: result.CallNotRunStopping,
		// It is tried, and no back end answers there.
		3 * time.Second: result.CallNotRunUnreachable,
	} {
		synctest.Test(t, func(t *testing.T) {
			o := running(t)
			slots := fill(t, instanceOf(t, o, "desk-1"))
			ended := make(chan error, 1)
			go func() {
				open := &lapisv1.CallOpen{
					Service: "desk", Instance: "desk-1", AttemptId: "waits", Target: "/", Method: "GET",
					DeadlineMillis: uint32(lasts.Milliseconds()),
				}
				_, err := o.Handle(context.Background(), &callapi.Call{Open: open})
				ended <- err
			}()
			synctest.Wait()
			o.Leave(time.Now().Add(5 * time.Second))
			time.Sleep(time.Second)
			for _, slot := range slots {
				slot.Release(false)
			}
			assertCode(t, <-ended, code)
			synctest.Wait()
			assert.Equal(t, o.InFlight(), 0)
		})
	}
}
