package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// Checks that an instance that reports no slowdown is judged by its service times alone.
func TestInstanceThatStatesNothingIsJudgedByItsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		silent, plain := newPool("a"), newPool("a")
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			took := time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond
			silent.Targets("desk")[0].RecordSlowdown(0, silent.clock.now)
			silent.Targets("desk")[0].RecordAnswer(route, took, silent.clock.now)
			plain.Targets("desk")[0].RecordAnswer(route, took, plain.clock.now)
		}
		first, second := silent.Targets("desk")[0], plain.Targets("desk")[0]
		assert.Equal(t, first.ServiceTime(route), second.ServiceTime(route))
		assert.Equal(t, first.RecentServiceTime(route, silent.clock.now), second.RecentServiceTime(route, plain.clock.now))
	})
}

// Checks that reported slowdowns are validated against service times: an instance whose reports do
// not explain its service times is judged by these alone, and an instance that is slow receives
// fewer calls whether it reports it or not.
func TestStatementsAgainstAnswers(t *testing.T) {
	answer := func(p *pool, chosen *balance.Target, percent uint32, took time.Duration) {
		chosen.RecordLoad(0, p.clock.now)
		chosen.RecordSlowdown(percent, p.clock.now)
		chosen.RecordAnswer(route, took, p.clock.now)
	}
	for name, row := range map[string]struct {
		percent            func() uint32
		took               time.Duration
		minShare, maxShare float64
	}{
		"always ten times, and as quick as the others": {func() uint32 { return 1000 }, serviceTime, 0.1, 0.4},
		"always as usual, and three times as slow":     {func() uint32 { return 100 }, 3 * serviceTime, 0, 0.1},
		"anything, and as quick as the others":         {func() uint32 { return rand.Uint32N(1000) + 1 }, serviceTime, 0.1, 0.4},
		"three times, and three times as slow":         {func() uint32 { return 300 }, 3 * serviceTime, 0, 0.1},
		"as usual, and as quick as the others":         {func() uint32 { return 100 }, serviceTime, 0.1, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool("a", "a", "a", "a")
			share := p.share(t, "desk-0", func(chosen *balance.Target) {
				if chosen.Endpoint.GetInstance() == "desk-0" {
					answer(p, chosen, row.percent(), row.took)
					return
				}
				answer(p, chosen, 100, serviceTime)
			})
			assert.Assert(t, share >= row.minShare && share <= row.maxShare, "%.3f", share)
		})
	}
}

// Guards against an instance losing all calls for over a minute because it always reports ten times
// the usual time while it answers as quickly as the others. Its reports were trusted, it received
// no call for 0.2 s by chance, and from then on its estimate rose: the estimate is in units of the
// reports of that instance, and decayed to the estimate of the other instances, which is in
// different units.
func TestInstanceThatAlwaysStatesTheSameIsNotLeft(t *testing.T) {
	for _, percent := range []uint32{10, 50, 300, 1000} {
		p := newPool("a", "a", "a", "a")
		answer := func(chosen *balance.Target) {
			stated := uint32(100)
			if chosen.Endpoint.GetInstance() == "desk-0" {
				stated = percent
			}
			chosen.RecordLoad(0, p.clock.now)
			chosen.RecordSlowdown(stated, p.clock.now)
			chosen.RecordAnswer(route, serviceTime, p.clock.now)
		}
		for range 40 {
			for _, target := range p.Targets("desk") {
				answer(target)
			}
			p.clock.now = p.clock.now.Add(5 * time.Millisecond)
		}
		for range 1000 {
			for _, other := range p.Targets("desk")[1:] {
				answer(other)
			}
			p.clock.now = p.clock.now.Add(5 * time.Millisecond)
		}
		share := p.share(t, "desk-0", answer)
		assert.Assert(t, share >= 0.1 && share <= 0.4, "reporting %d percent: share is %.3f", percent, share)
	}
}
