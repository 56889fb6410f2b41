package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// A daemon that returns as another process is logged, with whether the process before had announced ready
// instances when its link was lost. One that returns as the same process is not.
func TestRestartIsToldFromALostLink(t *testing.T) {
	for name, row := range map[string]struct {
		incarnation uint64
		state       lapisv1.Endpoint_State
		want        string
	}{
		"same process": {7, lapisv1.Endpoint_STATE_READY, ""},
		"not planned":  {8, lapisv1.Endpoint_STATE_READY, `"incarnation"=8 "before"=7 "away_ms"=1500 "ready"=1`},
		"planned":      {8, lapisv1.Endpoint_STATE_DRAINING, `"incarnation"=8 "before"=7 "away_ms"=1500 "ready"=0`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				line := ""
				near := newTestFleet(1)
				near.config.Logger = funcr.New(func(_, text string) { line = text }, funcr.Options{})
				far := newPeer("far", time.Now())
				near.logRestart(far, 7, near.recordConnected(far, callmux.Link{}, 7))
				assert.Equal(t, line, "")
				far.announcement = &lapisv1.Announcement{Incarnation: 7, Endpoints: []*lapisv1.Endpoint{{State: row.state}}}
				near.recordLost(far, callmux.Link{})
				line = ""
				time.Sleep(1500 * time.Millisecond)
				near.logRestart(far, row.incarnation, near.recordConnected(far, callmux.Link{}, row.incarnation))
				assert.Equal(t, line == "", row.want == "")
				assert.Assert(t, cmp.Contains(line, row.want))
			})
		})
	}
}
