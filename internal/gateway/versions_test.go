package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/result"
	"github.com/lapisvane/lapisvane/internal/rollout"
)

// rollOut gives the first instance of an attempter the version v2, and the service a
// roll-out of it.
func rollOut(attempt *attempter, allocation rollout.Allocation) *rollout.Traffic {
	var endpoints []*lapisv1.Endpoint
	for index, target := range attempt.gateway.balancer.Targets("desk") {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: target.Endpoint.GetInstance(), Node: target.Endpoint.GetNode(), Slots: 6,
			Zone: "a", State: lapisv1.Endpoint_STATE_READY, Version: []string{"v2", "v1", "v1"}[index],
		})
	}
	attempt.gateway.balancer.Update("desk", endpoints)
	allocation.Order = rollout.Identity{Target: "v2"}
	traffic := rollout.NewTraffic(allocation.Order)
	traffic.Apply(allocation)
	attempt.gateway.config.Traffic = func(service string) *rollout.Traffic {
		return map[string]*rollout.Traffic{"desk": traffic}[service]
	}
	return traffic
}

// Every attempt, repeats too, is sent by the roll-out and counted once, and speaks for or
// against a version only with an answer of the instance's own.
func TestAttemptsPassThroughTheRollout(t *testing.T) {
	refused := result.Errorf(result.CallNotRunEvacuated, "evacuated")
	for name, row := range map[string]struct {
		allocation rollout.Allocation
		script     []any
		// sent are the attempts, answers and failures the evidence.
		sent              rollout.Sent
		answers, failures uint32
	}{
		"nothing for the version":    {rollout.Allocation{}, []any{200}, rollout.Sent{All: 1}, 1, 0},
		"repeats stay at the old":    {rollout.Allocation{}, []any{500, 504}, rollout.Sent{All: 2}, 2, 2},
		"everything":                 {rollout.Allocation{Share: 1}, []any{500}, rollout.Sent{All: 1, New: 1}, 1, 1},
		"the platform's own failure": {rollout.Allocation{}, []any{503, 502}, rollout.Sent{All: 2}, 0, 0},
		"refused, then answered":     {rollout.Allocation{}, []any{refused, 200}, rollout.Sent{All: 2}, 1, 0},
		"the only version there is":  {rollout.Allocation{Sole: true, Barred: []string{"v1"}}, []any{200}, rollout.Sent{All: 1, New: 1}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := newAttempter(t, &scriptedRemote{script: row.script}, true, RetryLimits{Fraction: 1, Burst: 10})
			traffic := rollOut(attempt, row.allocation)
			done, err := attempt.run(context.Background())
			assert.NilError(t, err)
			done.sending.end()
			assert.Equal(t, traffic.Sent(), row.sent)
			assert.Equal(t, traffic.OldInFlight(), 0)
			var all rollout.Counts
			for _, counts := range traffic.Evidence(time.Now()) {
				all.Add(counts)
			}
			assert.DeepEqual(t, []uint32{all.Answers, all.Failures}, []uint32{row.answers, row.failures})
		})
	}
}

// An answer whose body is on its way keeps its attempt in flight.
func TestAttemptsAreInFlightUntilTheirBodyEnds(t *testing.T) {
	attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, RetryLimits{Fraction: 1, Burst: 10})
	traffic := rollOut(attempt, rollout.Allocation{})
	done, err := attempt.run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, traffic.OldInFlight(), 1)
	done.sending.end()
	assert.Equal(t, traffic.OldInFlight(), 0)
}

// What the version cannot take goes to the old one, and the share is kept over many calls.
func TestProbesThatFindNoInstanceGoElsewhere(t *testing.T) {
	const calls, share = 400, 0.05
	for name, probed := range map[string][]string{"probed": {"desk-0"}, "none to probe": {"gone"}} {
		attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, RetryLimits{Fraction: 1, Burst: 10})
		traffic := rollOut(attempt, rollout.Allocation{Share: share, Probed: probed})
		for index := range calls {
			attempt.open = &lapisv1.CallOpen{IdempotencyKey: fmt.Sprint(index)}
			done, err := attempt.run(context.Background())
			assert.NilError(t, err)
			done.sending.end()
			done.target.End()
		}
		sent := traffic.Sent()
		assert.Equal(t, sent.All, uint64(calls))
		assert.Assert(t, float64(sent.New) <= share*calls, "%s: %+v", name, sent)
		assert.Equal(t, sent.New > 0, name == "probed")
	}
}
