package origin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// heartbeatInterval is the heartbeat interval of the instances in these tests.
const heartbeatInterval = 1500 * time.Millisecond

// newHeartbeat returns a heartbeat of the incarnation of desk-1 that started at born seconds.
func newHeartbeat(born, sequence uint64) origin.Registration {
	heartbeat := registration("desk-1", "127.0.0.1:1")
	heartbeat.StartUnixMillis, heartbeat.Sequence = born*1000, sequence
	return heartbeat
}

// newHeartbeats returns count consecutive heartbeats of one incarnation, starting at a sequence.
func newHeartbeats(born, sequence uint64, count int) (beats []origin.Registration) {
	for index := range count {
		beats = append(beats, newHeartbeat(born, sequence+uint64(index)))
	}
	return beats
}

func withDraining(heartbeat origin.Registration) origin.Registration {
	heartbeat.Draining = true
	return heartbeat
}

func withAddress(address string, heartbeat origin.Registration) origin.Registration {
	heartbeat.Address = address
	return heartbeat
}

// withInstanceID returns a heartbeat with another instance ID.
func withInstanceID(id string, heartbeat origin.Registration) origin.Registration {
	heartbeat.Instance = id
	return heartbeat
}

// readyNames returns the names of the instances that are announced as ready.
func readyNames(running *origin.Origin) []string {
	names := []string{}
	for _, endpoint := range running.Advertised() {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			names = append(names, endpoint.GetInstance())
		}
	}
	return names
}

// The failure: heartbeats of an instance that restarted under the same ID counted as delayed ones
// until its sequence had caught up, and after a withdrawal it was refused for ten minutes
// (departure.TTL).
func TestInstanceStartsAgainUnderItsID(t *testing.T) {
	const first, second = "desk-1@1000", "desk-1@2000"
	for name, row := range map[string]struct {
		heartbeats []origin.Registration
		ready      string
	}{
		"restarted":                                      {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 1)}, second},
		"first heartbeat lost":                           {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 2)}, second},
		"at another address":                             {[]origin.Registration{newHeartbeat(1, 900), withAddress("127.0.0.1:2", newHeartbeat(2, 1))}, second},
		"after it had left":                              {[]origin.Registration{newHeartbeat(1, 900), withDraining(newHeartbeat(1, 901)), newHeartbeat(2, 1)}, second},
		"delayed heartbeats of the earlier one":          {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 1), newHeartbeat(1, 901), newHeartbeat(2, 2)}, second},
		"earlier one forgotten":                          {[]origin.Registration{newHeartbeat(2, 1), newHeartbeat(1, 900), newHeartbeat(2, 2)}, second},
		"first heartbeat delayed":                        {[]origin.Registration{newHeartbeat(2, 5), newHeartbeat(1, 1), newHeartbeat(2, 6)}, second},
		"earlier one registers first":                    {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 7)}, second},
		"earlier one leaves, delayed":                    {[]origin.Registration{newHeartbeat(2, 1), withDraining(newHeartbeat(1, 902)), newHeartbeat(2, 2)}, second},
		"delayed, at another address":                    {[]origin.Registration{newHeartbeat(2, 1), withAddress("127.0.0.1:2", newHeartbeat(1, 1)), newHeartbeat(2, 2)}, second},
		"another instance, delayed":                      {[]origin.Registration{newHeartbeat(2, 1), withInstanceID("desk-0", newHeartbeat(1, 1)), newHeartbeat(2, 2)}, second},
		"heartbeat without a start time":                 {[]origin.Registration{newHeartbeat(2, 5), newHeartbeat(0, 900), newHeartbeat(2, 6)}, second},
		"start times stated from now on":                 {[]origin.Registration{newHeartbeat(0, 900), newHeartbeat(2, 1)}, second},
		"the clock was set back":                         {append([]origin.Registration{newHeartbeat(2, 900)}, newHeartbeats(1, 1, 6)...), first},
		"clock set back, other one sends again":          {append(append([]origin.Registration{newHeartbeat(2, 900)}, newHeartbeats(1, 1, 6)...), newHeartbeat(2, 901), newHeartbeat(1, 7)), second},
		"two starts with the same time":                  {append([]origin.Registration{newHeartbeat(1, 900)}, newHeartbeats(1, 1, 50)...), first},
		"two starts without a time":                      {append([]origin.Registration{newHeartbeat(0, 900)}, newHeartbeats(0, 1, 50)...), "desk-1"},
		"draining, delayed heartbeat of the earlier one": {[]origin.Registration{newHeartbeat(2, 1), withDraining(newHeartbeat(2, 2)), newHeartbeat(1, 900)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startOrigin(t)
				defer stop()
				for _, heartbeat := range row.heartbeats {
					running.Register(heartbeat)
					time.Sleep(heartbeatInterval)
				}
				ready := []string{}
				if row.ready != "" {
					ready = append(ready, row.ready)
				}
				assert.DeepEqual(t, readyNames(running), ready)
			})
		})
	}
}

// A withdrawal with a start time applies to that incarnation only; one without applies to the known
// incarnation with the ID.
func TestWithdrawalOfOneIncarnation(t *testing.T) {
	for name, row := range map[string]struct {
		withdraw func(*origin.Origin)
		ready    []string
	}{
		"of the earlier incarnation": {func(o *origin.Origin) { o.WithdrawIncarnation("desk-1", 1000) }, []string{"desk-1@2000"}},
		"of the present incarnation": {func(o *origin.Origin) { o.WithdrawIncarnation("desk-1", 2000) }, []string{}},
		"of the ID":                  {func(o *origin.Origin) { o.WithdrawIncarnation("desk-1", 0) }, []string{}},
		"by name":                    {func(o *origin.Origin) { o.Withdraw("desk-1@1000", "machine-b") }, []string{"desk-1@2000"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startOrigin(t)
				defer stop()
				running.Register(newHeartbeat(1, 900))
				running.Register(newHeartbeat(2, 1))
				row.withdraw(running)
				time.Sleep(settleTime)
				assert.DeepEqual(t, readyNames(running), row.ready)
			})
		})
	}
}

// A call for an earlier incarnation is not sent to the present one; the daemon refuses it.
func TestCallForAnEarlierIncarnationIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, stop := startOrigin(t)
		defer stop()
		running.Register(newHeartbeat(1, 900))
		running.Register(newHeartbeat(2, 1))
		time.Sleep(settleTime)
		call := &callapi.Call{Open: &lapisv1.CallOpen{Service: "desk", Instance: "desk-1@1000", AttemptId: "a"}}
		_, err := running.Handle(context.Background(), call)
		assert.Assert(t, result.Is(err, result.CallNotRunDraining), "%v", err)
	})
}
