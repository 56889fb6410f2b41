package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// startRollout gives the first instance of an attempter the version v2 and starts a roll-out of v2.
func startRollout(attempt *attempter, allocation rollout.Allocation) *rollout.Traffic {
	var endpoints []*lapisv1.Endpoint
	for index, target := range attempt.gateway.config.Balancer.Targets("desk") {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: target.Endpoint.GetInstance(), Node: target.Endpoint.GetNode(), Slots: 6,
			Zone: "a", State: lapisv1.Endpoint_STATE_READY, Version: []string{"v2", "v1", "v1"}[index],
		})
	}
	attempt.gateway.config.Balancer.Update("desk", endpoints)
	allocation.Order = rollout.Identity{Target: "v2"}
	traffic := rollout.NewTraffic(allocation.Order)
	traffic.Apply(allocation)
	attempt.gateway.config.Rollout = func(service string) *rollout.Traffic {
		return map[string]*rollout.Traffic{"desk": traffic}[service]
	}
	return traffic
}

// The roll-out decides about every attempt, including repeats, and counts it once. Only an answer of the
// instance itself is evidence for or against a version.
func TestAttemptsPassThroughTheRollout(t *testing.T) {
	refused := result.Errorf(result.CallNotRunEvacuated, "evacuated")
	for name, row := range map[string]struct {
		allocation rollout.Allocation
		script     []any
		// sent is the expected number of attempts; answers and failures are the expected evidence.
		sent              rollout.Sent
		answers, failures uint32
	}{
		"nothing for the version":   {rollout.Allocation{}, []any{200}, rollout.Sent{All: 1}, 1, 0},
		"repeats stay at the old":   {rollout.Allocation{}, []any{500, 504}, rollout.Sent{All: 2}, 2, 2},
		"everything":                {rollout.Allocation{Share: 1}, []any{500}, rollout.Sent{All: 1, New: 1}, 1, 1},
		"other server errors":       {rollout.Allocation{}, []any{503, 502}, rollout.Sent{All: 2}, 2, 2},
		"refused, then answered":    {rollout.Allocation{}, []any{refused, 200}, rollout.Sent{All: 2}, 1, 0},
		"the only version there is": {rollout.Allocation{OnlyVersion: true, ExcludedVersions: []string{"v1"}}, []any{200}, rollout.Sent{All: 1, New: 1}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			attempt := newAttempter(t, &scriptedRemote{script: row.script}, true, retry.Limits{Fraction: 1, Burst: 10})
			traffic := startRollout(attempt, row.allocation)
			done, err := attempt.run(context.Background())
			assert.NilError(t, err)
			done.version.end()
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

// An attempt is in flight until the body of its answer has been transferred.
func TestAttemptsAreInFlightUntilTheirBodyEnds(t *testing.T) {
	attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{Fraction: 1, Burst: 10})
	traffic := startRollout(attempt, rollout.Allocation{})
	done, err := attempt.run(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, traffic.OldInFlight(), 1)
	done.version.end()
	assert.Equal(t, traffic.OldInFlight(), 0)
}

// Calls that the new version cannot take go to the old one, and the share is not exceeded over many calls.
func TestProbesWithoutAnInstanceGoToTheOldVersion(t *testing.T) {
	const calls, share = 400, 0.05
	for name, probed := range map[string][]string{"probed": {"desk-0"}, "none to probe": {"gone"}} {
		attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{Fraction: 1, Burst: 10})
		traffic := startRollout(attempt, rollout.Allocation{Share: share, Probed: probed})
		for index := range calls {
			attempt.opening = &lapisv1.CallOpen{IdempotencyKey: fmt.Sprint(index)}
			done, err := attempt.run(context.Background())
			assert.NilError(t, err)
			done.version.end()
			done.target.End()
		}
		sent := traffic.Sent()
		assert.Equal(t, sent.All, uint64(calls))
		assert.Assert(t, float64(sent.New) <= share*calls, "%s: %+v", name, sent)
		assert.Equal(t, sent.New > 0, name == "probed")
	}
}

// The share of a version may change between the choice of an instance and the attempt. The call then
// chooses again, for a bounded number of times.
func TestVersionChangesOfACallAreBounded(t *testing.T) {
	attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{Fraction: 1, Burst: 10})
	traffic := startRollout(attempt, rollout.Allocation{Share: 1})
	target, err := attempt.pickVersion("desk", func(...balance.Constraint) (*balance.Target, error) {
		return attempt.gateway.config.Balancer.Targets("desk")[0], nil
	})
	assert.NilError(t, err)
	traffic.Apply(rollout.Allocation{Order: rollout.Identity{Target: "v2"}})
	for range maxVersionChanges {
		allowed, err := attempt.beginVersion(target)
		assert.Assert(t, !allowed && err == nil)
	}
	_, err = attempt.beginVersion(target)
	assert.Assert(t, result.Is(err, result.CallNoEndpoint), "%v", err)
	assert.Equal(t, traffic.Sent(), rollout.Sent{})
}
