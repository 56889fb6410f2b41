package balance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

const (
	route       = "dock-status"
	target      = 200 * time.Millisecond
	serviceTime = 60 * time.Millisecond
	picks       = 2000
)

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

// pool is a balancer with instances of one service.
type pool struct {
	*balance.Balancer
	clock   *clock
	service *snapshot.Service
}

// newPool returns a pool whose instances are in the given zones. The balancer is in zone a.
func newPool(zones ...string) *pool {
	clock := &clock{now: time.Unix(1000, 0)}
	made := &pool{
		Balancer: balance.New("node", "a", "", clock.read), clock: clock,
		service: &snapshot.Service{Bundle: &lapisv1.Bundle{Pool: &lapisv1.Pool{Name: "desk", Slots: 6}}},
	}
	made.update(zones, nil)
	return made
}

func (p *pool) update(zones []string, states map[int]lapisv1.Endpoint_State) {
	var endpoints []*lapisv1.Endpoint
	for index, zone := range zones {
		state, given := states[index]
		if !given {
			state = lapisv1.Endpoint_STATE_READY
		}
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: fmt.Sprint("desk-", index), Zone: zone, Slots: 6, State: state, Incarnation: 1,
		})
	}
	p.Update("desk", endpoints)
}

// share returns the fraction of the picks that went to an instance. answer is called with the
// picked instance after each pick.
func (p *pool) share(t *testing.T, instance string, answer func(*balance.Target)) float64 {
	t.Helper()
	picked := 0
	for range picks {
		chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target, Bytes: 5000})
		assert.NilError(t, err)
		if chosen.Endpoint.GetInstance() == instance {
			picked++
		}
		p.clock.now = p.clock.now.Add(5 * time.Millisecond)
		answer(chosen)
	}
	return float64(picked) / picks
}

// Checks that an instance that fails or answers slowly receives a smaller share of the calls.
func TestInstancesThatDoWorseGetLess(t *testing.T) {
	succeed := func(p *pool, chosen *balance.Target) {
		chosen.RecordSuccess()
		chosen.RecordAnswer(route, serviceTime, p.clock.now)
	}
	for name, row := range map[string]struct {
		zones []string
		// behavior is the reaction of desk-0 to a call; the other instances succeed.
		behavior           func(*pool, *balance.Target)
		minShare, maxShare float64
	}{
		"all alike":                   {zones: []string{"a", "a", "a", "a"}, behavior: succeed, minShare: 0.15, maxShare: 0.35},
		"fails at once, without load": {zones: []string{"a", "a", "a", "a"}, behavior: func(p *pool, c *balance.Target) { c.RecordSuccess(); c.RecordErrorAnswer(p.clock.now) }, maxShare: 0.1},
		"cannot be reached":           {zones: []string{"a", "a", "a", "a"}, behavior: func(p *pool, c *balance.Target) { c.RecordFailure(p.clock.now) }, maxShare: 0.05},
		"is three times as slow":      {zones: []string{"a", "a", "a", "a"}, behavior: func(p *pool, c *balance.Target) { c.RecordSuccess(); c.RecordAnswer(route, 3*serviceTime, p.clock.now) }, maxShare: 0.15},
		"fails, alone in its zone":    {zones: []string{"a", "b", "b", "b"}, behavior: func(p *pool, c *balance.Target) { c.RecordSuccess(); c.RecordErrorAnswer(p.clock.now) }, maxShare: 0.15},
		"is alone in its zone":        {zones: []string{"a", "b", "b", "b"}, behavior: succeed, minShare: 0.95, maxShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(row.zones...)
			fraction := p.share(t, "desk-0", func(chosen *balance.Target) {
				if chosen.Endpoint.GetInstance() == "desk-0" {
					row.behavior(p, chosen)
					return
				}
				succeed(p, chosen)
			})
			assert.Assert(t, fraction >= row.minShare && fraction <= row.maxShare, "share is %.3f", fraction)
		})
	}
}

// Checks that an instance that failed is tried again after a while, so that it can recover.
func TestFailuresAreForgotten(t *testing.T) {
	p := newPool("a", "a")
	for _, failing := range p.Targets("desk")[:1] {
		for range 20 {
			failing.RecordErrorAnswer(p.clock.now)
		}
	}
	p.clock.now = p.clock.now.Add(30 * time.Second)
	fraction := p.share(t, "desk-0", func(chosen *balance.Target) {
		chosen.RecordSuccess()
		chosen.RecordAnswer(route, serviceTime, p.clock.now)
	})
	assert.Assert(t, fraction > 0.3, "share is %.3f", fraction)
}

// Checks that suspect instances are used if there are no others, and that draining instances are
// not.
func TestStatesOfInstances(t *testing.T) {
	zones := []string{"a", "a"}
	for name, row := range map[string]struct {
		states map[int]lapisv1.Endpoint_State
		chosen string
	}{
		"the ready one before a suspect one": {map[int]lapisv1.Endpoint_State{0: lapisv1.Endpoint_STATE_SUSPECT}, "desk-1"},
		"a suspect one before none":          {map[int]lapisv1.Endpoint_State{0: lapisv1.Endpoint_STATE_SUSPECT, 1: lapisv1.Endpoint_STATE_DRAINING}, "desk-0"},
		"none that drains":                   {map[int]lapisv1.Endpoint_State{0: lapisv1.Endpoint_STATE_GONE, 1: lapisv1.Endpoint_STATE_DRAINING}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(zones...)
			p.update(zones, row.states)
			chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target})
			if row.chosen == "" {
				assert.ErrorContains(t, err, "no instance")
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, chosen.Endpoint.GetInstance(), row.chosen)
		})
	}
}

// Checks that calls move to another zone if the instance of the own zone is often late, although
// its mean service time is well within the target.
func TestLongTimesCountBesideTheMean(t *testing.T) {
	p := newPool("a", "b")
	for range 20 {
		p.Targets("desk")[1].RecordAnswer(route, target/10, p.clock.now)
	}
	long := false
	crossZonePicks := 0
	for pick := range picks {
		chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target, Bytes: 2000})
		assert.NilError(t, err)
		p.clock.now = p.clock.now.Add(5 * time.Millisecond)
		chosen.RecordSuccess()
		if chosen.Endpoint.GetZone() == "b" {
			chosen.RecordAnswer(route, target/10, p.clock.now)
			if pick > picks/2 {
				crossZonePicks++
			}
			continue
		}
		long = !long
		took := target / 20
		if long {
			took = target * 21 / 20
		}
		chosen.RecordAnswer(route, took, p.clock.now)
	}
	fraction := float64(crossZonePicks) / (picks / 2)
	assert.Assert(t, fraction > 0.7, "share is %.3f", fraction)
}

// Checks that the observations of an earlier start of an instance do not affect the current one,
// which has the same id and a different name.
func TestNewStartIsJudgedByItself(t *testing.T) {
	p := newPool()
	starts := func(born uint64) {
		var endpoints []*lapisv1.Endpoint
		for _, one := range []incarnation.Incarnation{{ID: "desk-0", StartUnixMillis: 1}, {ID: "desk-1", StartUnixMillis: born}} {
			endpoints = append(endpoints, &lapisv1.Endpoint{Service: "desk", Instance: one.Name(), Zone: "a", Slots: 6, State: lapisv1.Endpoint_STATE_READY, Incarnation: 1})
		}
		p.Update("desk", endpoints)
	}
	starts(1)
	failing := func(chosen *balance.Target) {
		if chosen.Endpoint.GetInstance() == "desk-1@1" {
			chosen.RecordFailure(p.clock.now)
			return
		}
		chosen.RecordSuccess()
	}
	assert.Assert(t, p.share(t, "desk-1@1", failing) < 0.1)
	starts(2)
	assert.Assert(t, p.share(t, "desk-1@2", func(chosen *balance.Target) { chosen.RecordSuccess() }) > 0.2)
}
