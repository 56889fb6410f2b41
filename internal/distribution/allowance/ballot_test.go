package allowance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// isolate cuts a daemon off from all others, or reconnects it.
func (s *simulation) isolate(one *simulatedDaemon, isolated bool) {
	for _, other := range s.daemons {
		if other != one {
			s.setPartitioned(one.index, other.index, isolated)
		}
	}
}

// fullRateOwners returns the daemons that may lend the full rate of an allowance.
func (s *simulation) fullRateOwners(allowance string) (owners []*simulatedDaemon) {
	for _, d := range s.daemons {
		d.participant.owner.dropExpiredVotes(s.now)
		if d.participant.owner.votes.share(d.name, allowance) == 1 {
			owners = append(owners, d)
		}
	}
	return owners
}

// steps advances the simulation and checks that at most one daemon may lend the full rate.
func (s *simulation) steps(t *testing.T, during time.Duration) {
	t.Helper()
	for end := s.now.Add(during); s.now.Before(end); {
		s.step()
		owners := s.fullRateOwners("large")
		assert.Assert(t, len(owners) <= 1, "%d owners lend the full rate at %s", len(owners), s.now.Sub(time.Unix(1000, 0)))
	}
}

// Guards against a vote that counts at two owners: one is cut off at the moment at which another returns,
// so that it does not learn that the vote has moved.
func TestVoteDoesNotCountAtTwoOwners(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(seed, 3, variant{})
		s.limits["large"] = Limit{Rate: 60, Burst: 60}
		s.load["large"] = 9 * 60
		for _, d := range s.daemons {
			s.start(d)
		}
		// Until the daemons know each other, each is the only member that it knows.
		for range 200 {
			s.step()
		}
		first := s.fullRateOwners("large")
		assert.Equal(t, len(first), 1)
		s.isolate(first[0], true)
		s.steps(t, 5*time.Second)
		second := s.fullRateOwners("large")
		assert.Equal(t, len(second), 1)
		assert.Assert(t, first[0] != second[0])
		s.isolate(first[0], false)
		s.isolate(second[0], true)
		s.steps(t, 4*time.Second)
		assert.Assert(t, len(s.fullRateOwners("large")) == 1 && s.fullRateOwners("large")[0] != second[0])
		assert.Equal(t, s.overshoot, "")
	}
}

func TestVoteMovesOnceThePreviousOwnerCannotCountIt(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := newView([]string{"a", "b"}), newView([]string{"b", "c"})
	changeKey := newTransition(before.owners, after.owners).key
	confirmed := peerState{connected: true, statedKey: changeKey, statedNumber: 7, confirmedNumber: 7, voteExpiresAt: now.Add(time.Second)}
	with := func(change func(*peerState)) *peerState {
		changed := confirmed
		change(&changed)
		return &changed
	}
	for name, row := range map[string]struct {
		previousOwner *peerState
		moves         bool
	}{
		"confirmed":                  {with(func(*peerState) {}), true},
		"not confirmed":              {with(func(p *peerState) { p.confirmedNumber = 6 }), false},
		"confirmed another change":   {with(func(p *peerState) { p.statedKey = before.key }), false},
		"confirmed, connection lost": {with(func(p *peerState) { p.connected = false }), false},
		"vote expired":               {with(func(p *peerState) { p.connected, p.voteExpiresAt = false, now }), true},
		"never voted there":          {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			votes := map[string]*peerState{"b": &confirmed}
			if row.previousOwner != nil {
				votes["a"] = row.previousOwner
			}
			moving := ballot{settled: before, target: before}
			moving.update(now, after, votes)
			if row.moves {
				assert.Equal(t, moving.stated().key, after.key)
				return
			}
			assert.Equal(t, moving.stated().key, changeKey)
		})
	}
}

// During a change a vote counts for the allowances whose owner stays the same.
func TestVoteCountsForOwnersThatStayDuringAChange(t *testing.T) {
	before, after := []string{"a", "b", "c", "d"}, []string{"b", "c", "d", "e"}
	transition := newTransition(before, after)
	kept := 0
	for _, allowance := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12"} {
		was, becomes := newView(before).ownerOf(allowance), newView(after).ownerOf(allowance)
		if was != becomes {
			assert.Equal(t, transition.ownerOf(allowance), "")
			continue
		}
		kept++
		assert.Equal(t, transition.ownerOf(allowance), was)
	}
	assert.Assert(t, kept > 0 && kept < 12)
	assert.Equal(t, newTransition(nil, after).key, newView(after).key)
}
