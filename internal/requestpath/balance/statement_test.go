package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// endpointOf returns instance desk-0 as announced by an incarnation of its daemon.
func endpointOf(incarnation uint64) []*lapisv1.Endpoint {
	return []*lapisv1.Endpoint{{Service: "desk", Instance: "desk-0", Zone: "a", Slots: 6, State: lapisv1.Endpoint_STATE_READY, Incarnation: incarnation}}
}

// Guards against a limit that is forgotten when the daemon beside the instance restarts or is lost for a
// while, and against one that is remembered for ever.
func TestStatementsOutliveTheDaemonBesideTheInstance(t *testing.T) {
	stated := callapi.RateLimit{PerSecond: 6.4, Stated: true}
	for name, row := range map[string]struct {
		disrupt func(p *pool)
		want    callapi.RateLimit
	}{
		"the daemon restarts": {func(p *pool) { p.Update("desk", endpointOf(2)) }, stated},
		"the daemon is lost and comes back": {func(p *pool) {
			p.Update("desk", nil)
			p.clock.now = p.clock.now.Add(time.Minute)
			p.Update("desk", endpointOf(2))
		}, stated},
		"the instance is listed all the time": {func(p *pool) {
			p.clock.now = p.clock.now.Add(time.Hour)
			p.Update("desk", endpointOf(1))
			p.Update("desk", endpointOf(2))
		}, stated},
		"the instance has left for long": {func(p *pool) {
			p.Update("desk", nil)
			p.clock.now = p.clock.now.Add(time.Hour)
			p.Update("desk", endpointOf(2))
		}, callapi.RateLimit{}},
		"an answer without it": {func(p *pool) {
			p.Targets("desk")[0].RecordStatement(callapi.RateLimit{}, false)
		}, callapi.RateLimit{}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			p.Update("desk", endpointOf(1))
			p.Targets("desk")[0].RecordStatement(stated, false)
			row.disrupt(p)
			assert.Equal(t, p.Targets("desk")[0].StatedLimit(), row.want)
		})
	}
}

// An instance that has just refused calls because of its limit gets none until it has a token again, and
// one whose limit is used up gets fewer calls than the others.
func TestInstancesWithALimitGetLess(t *testing.T) {
	limit := callapi.RateLimit{PerSecond: 2, Stated: true}
	for name, row := range map[string]struct {
		state              func(*balance.Target, time.Time)
		minShare, maxShare float64
	}{
		"without a limit":    {func(*balance.Target, time.Time) {}, 0.15, 0.35},
		"has refused a call": {func(t *balance.Target, now time.Time) { t.RecordLimitRejection(time.Hour, now) }, 0, 0},
		"limited and idle":   {func(t *balance.Target, _ time.Time) { t.RecordStatement(limit, false) }, 0.15, 0.35},
		"limited and in use": {func(t *balance.Target, _ time.Time) { t.RecordStatement(limit, false); t.Begin() }, 0, 0.05},
		"accepts none at all": {func(t *balance.Target, now time.Time) {
			t.RecordStatement(callapi.RateLimit{Stated: true}, false)
			t.Begin()
		}, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool("a", "a", "a", "a")
			row.state(p.Targets("desk")[0], p.clock.now)
			fraction := p.share(t, "desk-0", func(chosen *balance.Target) { chosen.RecordAnswer(route, serviceTime, p.clock.now) })
			assert.Assert(t, fraction >= row.minShare && fraction <= row.maxShare, "share is %.3f", fraction)
		})
	}
}

// A limit of all instances leaves the choice between them as it is.
func TestSomeInstanceIsChosenIfAllAcceptNothing(t *testing.T) {
	p := newPool("a", "a")
	for _, limited := range p.Targets("desk") {
		limited.RecordStatement(callapi.RateLimit{Stated: true}, false)
		limited.Begin()
		limited.RecordLimitRejection(time.Hour, p.clock.now)
	}
	_, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target})
	assert.NilError(t, err)
}

// Guards against calls that are sent to no instance because no cost is finite.
func TestSomeInstanceIsChosenAtAnyCost(t *testing.T) {
	for name, rate := range map[string]float64{"cold rate near 0": 1e-320, "load unknown": 0} {
		for _, latency := range []time.Duration{0, target} {
			t.Run(fmt.Sprint(name, latency), func(t *testing.T) {
				p := newPool("a", "a")
				p.service.Bundle.Pool.ColdCallsPerSecond = rate
				for _, loaded := range p.Targets("desk") {
					loaded.Endpoint.ColdMillis = math.MaxUint32
					loaded.Begin()
					loaded.RecordLoad(float32(math.NaN()), p.clock.now)
				}
				p.update([]string{"a", "a"}, nil)
				chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: latency})
				assert.NilError(t, err)
				assert.Assert(t, chosen != nil)
			})
		}
	}
}

// Guards against calls to an instance that has stated that it leaves, also when its daemon restarts and
// announces it as ready again.
func TestInstanceThatLeavesIsNotChosen(t *testing.T) {
	p := newPool()
	p.Update("desk", endpointOf(1))
	p.Targets("desk")[0].RecordStatement(callapi.RateLimit{}, true)
	for incarnation := range uint64(3) {
		p.Update("desk", endpointOf(incarnation))
		// An answer that the instance wrote before it began to leave.
		p.Targets("desk")[0].RecordStatement(callapi.RateLimit{}, false)
		_, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target})
		assert.Assert(t, result.Is(err, result.CallNoEndpoint), "%v", err)
	}
}

// Guards against a statement that is lost because the instance is not listed when its answer arrives.
func TestStatementOfAnInstanceThatIsNotListedIsKept(t *testing.T) {
	p := newPool()
	p.Update("desk", endpointOf(1))
	called := p.Targets("desk")[0]
	p.Update("desk", nil)
	called.RecordStatement(callapi.RateLimit{}, true)
	p.Update("desk", endpointOf(2))
	_, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target})
	assert.Assert(t, result.Is(err, result.CallNoEndpoint), "%v", err)
}
