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

// heartbeatInterval is that of the instances in these tests.
const heartbeatInterval = 1500 * time.Millisecond

// newHeartbeat is a heartbeat of a start of the instance desk-1, of born seconds.
func newHeartbeat(born, sequence uint64) origin.Registration {
	stated := registration("desk-1", "127.0.0.1:1")
	stated.Born, stated.Sequence = born*1000, sequence
	return stated
}

// newHeartbeats are so many heartbeats of a start from a sequence on.
func newHeartbeats(born, sequence uint64, count int) (beats []origin.Registration) {
	for index := range count {
		beats = append(beats, newHeartbeat(born, sequence+uint64(index)))
	}
	return beats
}

func withDraining(stated origin.Registration) origin.Registration {
	stated.Draining = true
	return stated
}

func withAddress(address string, stated origin.Registration) origin.Registration {
	stated.Address = address
	return stated
}

// withInstanceID gives a heartbeat another id.
func withInstanceID(id string, stated origin.Registration) origin.Registration {
	stated.Instance = id
	return stated
}

// readyNames are the instances that are announced as ready.
func readyNames(running *origin.Origin) []string {
	names := []string{}
	for _, endpoint := range running.Advertised() {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			names = append(names, endpoint.GetInstance())
		}
	}
	return names
}

// The failure: an instance that started again under its id counted as a late message of itself until
// its sequence had caught up, and one that had left was refused for ten minutes.
func TestInstanceStartsAgainUnderItsID(t *testing.T) {
	const first, second = "desk-1@1000", "desk-1@2000"
	for name, row := range map[string]struct {
		heartbeats []origin.Registration
		ready      string
	}{
		"started again":                         {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 1)}, second},
		"its first heartbeat was lost":          {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 2)}, second},
		"at another address":                    {[]origin.Registration{newHeartbeat(1, 900), withAddress("127.0.0.1:2", newHeartbeat(2, 1))}, second},
		"after it had left":                     {[]origin.Registration{newHeartbeat(1, 900), withDraining(newHeartbeat(1, 901)), newHeartbeat(2, 1)}, second},
		"late heartbeats of the start before":   {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 1), newHeartbeat(1, 901), newHeartbeat(2, 2)}, second},
		"the start before was forgotten":        {[]origin.Registration{newHeartbeat(2, 1), newHeartbeat(1, 900), newHeartbeat(2, 2)}, second},
		"its first heartbeat is late":           {[]origin.Registration{newHeartbeat(2, 5), newHeartbeat(1, 1), newHeartbeat(2, 6)}, second},
		"the start before is heard first":       {[]origin.Registration{newHeartbeat(1, 900), newHeartbeat(2, 7)}, second},
		"the start before leaves late":          {[]origin.Registration{newHeartbeat(2, 1), withDraining(newHeartbeat(1, 902)), newHeartbeat(2, 2)}, second},
		"late and elsewhere":                    {[]origin.Registration{newHeartbeat(2, 1), withAddress("127.0.0.1:2", newHeartbeat(1, 1)), newHeartbeat(2, 2)}, second},
		"another instance before it, late":      {[]origin.Registration{newHeartbeat(2, 1), withInstanceID("desk-0", newHeartbeat(1, 1)), newHeartbeat(2, 2)}, second},
		"a heartbeat without start":             {[]origin.Registration{newHeartbeat(2, 5), newHeartbeat(0, 900), newHeartbeat(2, 6)}, second},
		"starts are stated from now on":         {[]origin.Registration{newHeartbeat(0, 900), newHeartbeat(2, 1)}, second},
		"the clock was set back":                {append([]origin.Registration{newHeartbeat(2, 900)}, newHeartbeats(1, 1, 6)...), first},
		"set back, and the other one is heard":  {append(append([]origin.Registration{newHeartbeat(2, 900)}, newHeartbeats(1, 1, 6)...), newHeartbeat(2, 901), newHeartbeat(1, 7)), second},
		"two starts that state the same time":   {append([]origin.Registration{newHeartbeat(1, 900)}, newHeartbeats(1, 1, 50)...), first},
		"two starts that state none":            {append([]origin.Registration{newHeartbeat(0, 900)}, newHeartbeats(0, 1, 50)...), "desk-1"},
		"draining, late heartbeat of the first": {[]origin.Registration{newHeartbeat(2, 1), withDraining(newHeartbeat(2, 2)), newHeartbeat(1, 900)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				running, stop := startOrigin(t)
				defer stop()
				for _, stated := range row.heartbeats {
					running.Register(stated)
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

// A withdrawal that names its start ends that one only; one that names the id ends the start that is
// known.
func TestWithdrawalOfAStart(t *testing.T) {
	for name, row := range map[string]struct {
		withdraw func(*origin.Origin)
		ready    []string
	}{
		"of the start before": {func(o *origin.Origin) { o.WithdrawStart("desk-1", 1000) }, []string{"desk-1@2000"}},
		"of this start":       {func(o *origin.Origin) { o.WithdrawStart("desk-1", 2000) }, []string{}},
		"of the id":           {func(o *origin.Origin) { o.WithdrawStart("desk-1", 0) }, []string{}},
		"told by its name":    {func(o *origin.Origin) { o.Withdraw("desk-1@1000") }, []string{"desk-1@2000"}},
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

// A call that was sent for the start before is not run by the present one, whose daemon says so.
func TestCallForTheStartBefore(t *testing.T) {
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
