package allowance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eachBucket calls change with each bucket of a participant.
func eachBucket(participant *Participant, change func(*bucket)) {
	for _, b := range participant.owner.buckets {
		change(b)
	}
}

// brokenVariants each break one rule of the package.
var brokenVariants = []variant{
	{name: "a new owner starts with full buckets", before: func(participant *Participant, now time.Time) {
		eachBucket(participant, func(b *bucket) {
			if now.Sub(b.soleOwnerSince) < simulatedTick*2 && b.share > 0 {
				b.burstBucket.level = b.burstBucket.capacity
			}
		})
	}},
	{name: "an owner lends the full rate regardless of votes", before: func(participant *Participant, _ time.Time) {
		eachBucket(participant, func(b *bucket) {
			b.share = 1
			b.resize(participant.owner.bounds)
		})
	}},
	{name: "credit is spent long after it was lent", started: func(participant *Participant) {
		participant.client.bounds.Overshoot = 10
	}},
	{name: "credit of calls that ran is given back", returnAfterRun: true},
	{name: "each daemon spends the whole reserve, even right after its start", before: func(participant *Participant, now time.Time) {
		participant.ranking.lastMemberAddedAt = now.Add(-time.Hour)
		for name, local := range participant.client.allowances {
			for len(local.waiting) > 0 && participant.ranking.view(now).ownerOf(name) != "" && local.reserve.take(now, participant.client.bounds.reserveCalls(), 0, 1, participant.client.bounds.Window) {
				ticket := local.waiting[0]
				local.waiting = local.waiting[1:]
				if !ticket.decided {
					ticket.decide(Outcome{Granted: true})
				}
			}
		}
	}},
	{name: "a former owner keeps its credit", before: func(participant *Participant, now time.Time) {
		eachBucket(participant, func(b *bucket) {
			if b.share == 0 {
				b.share = 0.01
				b.burstBucket.capacity = float64(b.limit.Burst) + burstHeadroomSlackShare*participant.owner.bounds.Slack
				b.burstBucket.level = b.burstBucket.capacity
			}
		})
	}},
	{name: "a daemon that has just started takes itself for the fleet", started: func(participant *Participant) {
		participant.FleetKnown(participant.owner.started)
	}},
	{name: "each vote counts twice", before: func(participant *Participant, _ time.Time) {
		participant.owner.votes.members = max(1, len(participant.ranking.ordered)/2)
	}},
}

// Each broken rule leads to a violated bound in the simulation. This shows that the rule is
// necessary and that the simulation detects violations.
func TestModelCatchesBrokenVariants(t *testing.T) {
	const maxSeeds = 200
	for _, broken := range brokenVariants {
		t.Run(broken.name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				if s := simulateFaults(seed, broken, false); s.overshoot != "" {
					t.Logf("seed %d: %s", seed, s.overshoot)
					return
				}
				if s := simulateOutage(seed, 3+int(seed%7), restartsInAnOutage["all at once"], broken); s.overshoot != "" {
					t.Logf("outage, seed %d: %s", seed, s.overshoot)
					return
				}
			}
			assert.Assert(t, false, "not detected with %d seeds", maxSeeds)
		})
	}
}
