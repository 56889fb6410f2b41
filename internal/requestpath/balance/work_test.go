package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// An instance that states nothing is judged as if nothing could be stated.
func TestInstanceThatStatesNothingIsJudgedByItsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		silent, plain := newPool("a"), newPool("a")
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			took := time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond
			silent.Targets("desk")[0].StatedWork(0, silent.clock.now)
			silent.Targets("desk")[0].Answered(route, took, silent.clock.now)
			plain.Targets("desk")[0].Answered(route, took, plain.clock.now)
		}
		first, second := silent.Targets("desk")[0], plain.Targets("desk")[0]
		assert.Equal(t, first.ServiceTime(route), second.ServiceTime(route))
		assert.Equal(t, first.RecentServiceTime(route, silent.clock.now), second.RecentServiceTime(route, plain.clock.now))
	})
}

// What an instance states is held against its answers: one that states always the same is used by
// how it answers, whatever that is, and one that states what is so is left while it is slow.
func TestStatementsAgainstAnswers(t *testing.T) {
	answer := func(p *pool, chosen *balance.Target, percent uint32, took time.Duration) {
		chosen.Reported(0, p.clock.now)
		chosen.StatedWork(percent, p.clock.now)
		chosen.Answered(route, took, p.clock.now)
	}
	for name, row := range map[string]struct {
		percent     func() uint32
		took        time.Duration
		least, most float64
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
			assert.Assert(t, share >= row.least && share <= row.most, "%.3f", share)
		})
	}
}

// The failure: an instance that always states ten times the usual, and answers as quickly as the others,
// got no calls for over a minute. The order of events: it was believed, it got no call for 0.2 s by
// chance, and from then on looked slower with each moment. The cause: what is known of it is in units of
// its own statements, and faded into what is known of the others, which is not.
func TestInstanceThatAlwaysStatesTheSameIsNotLeft(t *testing.T) {
	for _, percent := range []uint32{10, 50, 300, 1000} {
		p := newPool("a", "a", "a", "a")
		answer := func(chosen *balance.Target) {
			stated := uint32(100)
			if chosen.Endpoint.GetInstance() == "desk-0" {
				stated = percent
			}
			chosen.Reported(0, p.clock.now)
			chosen.StatedWork(stated, p.clock.now)
			chosen.Answered(route, serviceTime, p.clock.now)
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
		assert.Assert(t, share >= 0.1 && share <= 0.4, "stating %d it got %.3f", percent, share)
	}
}
