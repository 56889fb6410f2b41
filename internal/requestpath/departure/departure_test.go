package departure

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// heartbeatInterval is that of the users' instances (heartbeat-ms).
const heartbeatInterval = 1500 * time.Millisecond

func TestRelationsOfConstants(t *testing.T) {
	assert.Assert(t, continuationTime > heartbeatInterval/2, "heartbeats that arrive together register an instance")
	assert.Assert(t, continuationTime < heartbeatInterval, "two heartbeats do not register an instance")
	assert.Assert(t, maxSwept > sweepInterval, "stored departures become more and more")
	assert.Assert(t, firstReadMax < time.Second, "a store that refuses a second after the start is not read before")
	assert.Assert(t, awaitedReadMax <= StoreTimeout/4, "the wait for other daemons leaves the store little time")
}

// heartbeatAt is a heartbeat that arrives at a time.
type heartbeatAt struct {
	at       time.Duration
	sequence uint64
}

func TestOnlyContinuingHeartbeatsRegisterACandidate(t *testing.T) {
	for name, row := range map[string]struct {
		heartbeats []heartbeatAt
		want       bool
	}{
		"one":                           {[]heartbeatAt{{0, 7}}, false},
		"a late one":                    {[]heartbeatAt{{4 * time.Second, 7}}, false},
		"two late ones at once":         {[]heartbeatAt{{4 * time.Second, 7}, {4 * time.Second, 8}}, false},
		"three late ones in a row":      {[]heartbeatAt{{0, 7}, {100 * time.Millisecond, 8}, {200 * time.Millisecond, 9}}, false},
		"two":                           {[]heartbeatAt{{0, 7}, {heartbeatInterval, 8}}, true},
		"one delivered again and again": {[]heartbeatAt{{0, 7}, {heartbeatInterval, 7}, {2 * heartbeatInterval, 7}}, false},
		"the first one is the newest":   {[]heartbeatAt{{0, 9}, {heartbeatInterval, 7}, {2 * heartbeatInterval, 8}}, false},
		"one after TTL":                 {[]heartbeatAt{{0, 7}, {TTL + time.Second, 8}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			candidates, start, continued := &Candidates{}, time.Now(), false
			for _, heartbeat := range row.heartbeats {
				continued = candidates.Record("i-1", heartbeat.sequence, start.Add(heartbeat.at))
			}
			assert.Equal(t, continued, row.want)
		})
	}
}

func TestCandidatesAreBounded(t *testing.T) {
	candidates, now := &Candidates{}, time.Now()
	for number := range 10 * maxCandidates {
		candidates.Record(fmt.Sprintf("i-%d", number), 1, now)
	}
	assert.Equal(t, len(candidates.first), maxCandidates)
	candidates.Record("i-after", 1, now.Add(TTL+time.Second))
	assert.Equal(t, len(candidates.first), 1)
}

func TestDeparturesAreRequiredAfterAStart(t *testing.T) {
	for uptime, want := range map[time.Duration]bool{0: true, time.Minute: true, TTL - time.Second: true, TTL: false} {
		assert.Check(t, IsRequired(uptime) == want, "%s", uptime)
	}
}

// sweepStore is a Store with expired departures. It fails to remove those named in failing.
type sweepStore struct {
	Store
	expired []Stored
	removed []string
	failing map[string]bool
}

func (s *sweepStore) Expired(context.Context, string) ([]Stored, error) { return s.expired, nil }

func (s *sweepStore) Remove(_ context.Context, departure Stored) error {
	if s.failing[departure.Name] {
		return errors.New("the store is down")
	}
	s.removed = append(s.removed, departure.Name)
	return nil
}

func TestSweepRemovesALimitedNumber(t *testing.T) {
	store := &sweepStore{}
	for number := range 3 * maxSwept {
		store.expired = append(store.expired, Stored{Name: fmt.Sprint(number)})
	}
	assert.NilError(t, Sweep(t.Context(), store, ""))
	assert.Equal(t, len(store.removed), maxSwept)
}

func TestSweepEndsAtAFailure(t *testing.T) {
	store := &sweepStore{expired: []Stored{{Name: "a"}, {Name: "b"}, {Name: "c"}}, failing: map[string]bool{"b": true}}
	assert.ErrorContains(t, Sweep(t.Context(), store, ""), "down")
	assert.DeepEqual(t, store.removed, []string{"a"})
}
