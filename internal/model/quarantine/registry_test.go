package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// fakeClockRegistry is a registry with a settable clock.
type fakeClockRegistry struct {
	*Registry
	now time.Time
}

func newFakeClockRegistry() *fakeClockRegistry {
	registry := &fakeClockRegistry{now: time.Unix(1000, 0)}
	registry.Registry = NewRegistry(func() time.Time { return registry.now })
	return registry
}

func lineOf(path string) fingerprint.RequestLine {
	return fingerprint.RequestLine{Method: "GET", Host: "a.example", Target: path}
}

func inFlightOf(path, caller string) InFlight {
	line := lineOf(path)
	return InFlight{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, nil).Whole(), Caller: caller}
}

func TestQuarantinedFromTheThirdCrash(t *testing.T) {
	registry, poison := newFakeClockRegistry(), inFlightOf("/deadly", "desk")
	for crash := range uint64(3) {
		assert.Assert(t, !registry.Evaluate(poison.Keys, "desk").Quarantined)
		assert.Equal(t, MayRetry(registry.Count(poison.Keys)), crash < 2)
		registry.Crashed(crash, []InFlight{poison})
		// The same crash, reported again, counts once.
		registry.Crashed(crash, []InFlight{poison})
	}
	verdict := registry.Evaluate(poison.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, trialDelay)
	assert.Assert(t, registry.Suspected(lineOf("/deadly")))
	assert.Assert(t, !registry.Suspected(lineOf("/other")))
}

// A request that was merely in flight together with a poison request is cleared by its next
// response, and is not suspected of further crashes once the poison request has the most crashes.
func TestOnesThatRanBesideAreRefuted(t *testing.T) {
	registry, poison, bystander, late := newFakeClockRegistry(), inFlightOf("/deadly", "desk"), inFlightOf("/fine", "desk"), inFlightOf("/late", "desk")
	registry.Crashed(1, []InFlight{poison, bystander})
	assert.Equal(t, len(registry.Answered(bystander.Keys)), 1)
	assert.Equal(t, registry.Count(bystander.Keys), 0)
	assert.Assert(t, !registry.Suspected(lineOf("/fine")))
	registry.Crashed(2, []InFlight{poison, bystander})
	registry.Crashed(3, []InFlight{poison, late})
	assert.Equal(t, registry.Count(late.Keys), 0)
	assert.Equal(t, registry.Count(poison.Keys), 3)
	// A refuted crash that is reported again does not count.
	registry.Merge([]Record{{Key: bystander.Keys[0], Head: bystander.Head, Crashes: []Crash{{ID: 1, Caller: "desk"}}}})
	assert.Equal(t, registry.Count(bystander.Keys), 1)
}

// A caller must neither quarantine the requests of another caller nor evict its entries.
func TestCallersDoNotReachEachOther(t *testing.T) {
	registry, theirs := newFakeClockRegistry(), inFlightOf("/same", "attacker")
	for crash := range uint64(5) {
		registry.Crashed(crash, []InFlight{theirs})
	}
	assert.Assert(t, registry.Evaluate(theirs.Keys, "attacker").Quarantined)
	assert.Assert(t, !registry.Evaluate(theirs.Keys, "victim").Quarantined)
	// One crash under the victim's own request is enough to quarantine it for the victim.
	registry.Crashed(10, []InFlight{inFlightOf("/same", "victim")})
	assert.Assert(t, registry.Evaluate(theirs.Keys, "victim").Quarantined)

	poison := inFlightOf("/deadly", "victim")
	for crash := range uint64(3) {
		registry.Crashed(20+crash, []InFlight{poison})
	}
	for flood := range uint64(maxEntries + 100) {
		registry.Crashed(100+flood, []InFlight{inFlightOf(fmt.Sprintf("/flood/%d", flood), "attacker")})
	}
	assert.Assert(t, registry.Evaluate(poison.Keys, "victim").Quarantined)
	suspects, _ := registry.Sizes()
	assert.Assert(t, suspects <= maxEntries)
}

// A query that changes with every retry must not hide a poison request, and a request for the same
// path with another query must not be quarantined while it is answered.
func TestQueries(t *testing.T) {
	registry := newFakeClockRegistry()
	for crash := range uint64(3) {
		registry.Crashed(crash, []InFlight{inFlightOf(fmt.Sprintf("/deadly?page=%d", crash), "desk")})
	}
	assert.Assert(t, registry.Evaluate(inFlightOf("/deadly?page=9", "desk").Keys, "desk").Quarantined)

	other := newFakeClockRegistry()
	for crash := range uint64(3) {
		other.Registry.Crashed(crash, []InFlight{inFlightOf("/search?q=deadly", "desk")})
		other.Answered(inFlightOf("/search?q=fine", "desk").Keys)
	}
	assert.Assert(t, other.Evaluate(inFlightOf("/search?q=deadly", "desk").Keys, "desk").Quarantined)
	assert.Assert(t, !other.Evaluate(inFlightOf("/search?q=fine", "desk").Keys, "desk").Quarantined)
}

// A quarantined request may run as a trial after trialDelay. If the trial crashes, the request
// stays quarantined until the suspect expires; a response refutes the crashes.
func TestOneTrialRuns(t *testing.T) {
	registry, poison := newFakeClockRegistry(), inFlightOf("/deadly", "desk")
	for crash := range uint64(3) {
		registry.Crashed(crash, []InFlight{poison})
	}
	registry.now = registry.now.Add(trialDelay)
	verdict := registry.Evaluate(poison.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && verdict.TrialDue)
	assert.Equal(t, len(registry.RecordTrial(verdict.Key, verdict.Trials+1)), 1)
	assert.Assert(t, !registry.Evaluate(poison.Keys, "desk").TrialDue)
	registry.Crashed(9, []InFlight{poison})
	verdict = registry.Evaluate(poison.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, suspectTTL)
	registry.Answered(poison.Keys)
	assert.Assert(t, !registry.Evaluate(poison.Keys, "desk").Quarantined)
}

func TestCrashesAreForgotten(t *testing.T) {
	registry, poison := newFakeClockRegistry(), inFlightOf("/deadly", "desk")
	for crash := range uint64(3) {
		registry.Crashed(crash, []InFlight{poison})
	}
	registry.now = registry.now.Add(suspectTTL + time.Second)
	assert.Assert(t, !registry.Evaluate(poison.Keys, "desk").Quarantined)
	registry.Crashed(9, nil)
	suspects, _ := registry.Sizes()
	assert.Equal(t, suspects, 0)
	assert.Assert(t, !registry.Suspected(lineOf("/deadly")))
}

// Records must merge to the same result in any order and if repeated, because daemons exchange them
// without ordering or deduplication.
func TestMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := inFlightOf("/deadly", "").Keys[0]
		record := rapid.Custom(func(t *rapid.T) Record {
			made := Record{Key: key}
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 0, 4, rapid.ID).Draw(t, "crashes") {
				made.Crashes = append(made.Crashes, Crash{ID: id, Caller: "desk"})
			}
			made.Refuted = rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 0, 3, rapid.ID).Draw(t, "refuted")
			return made
		})
		records := rapid.SliceOfN(record, 1, 5).Draw(t, "records")
		one, other := newFakeClockRegistry(), newFakeClockRegistry()
		one.Merge(records)
		for _, index := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			other.Merge([]Record{records[index]})
			other.Merge([]Record{records[index]})
		}
		assert.Equal(t, one.Count([]fingerprint.Key{key}), other.Count([]fingerprint.Key{key}))
		assert.Equal(t, len(Records(Message(one.InitialRecords()))), 1)
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for index := range all {
		all[index] = index
	}
	return all
}

// A record must be stored again after it changed, and removed from the store once it is refuted.
func TestWhatTheStoreLacks(t *testing.T) {
	registry, poison := newFakeClockRegistry(), inFlightOf("/deadly", "desk")
	registry.Crashed(1, []InFlight{poison})
	assert.Equal(t, len(registry.Unstored()), 0)
	registry.Crashed(2, []InFlight{poison})
	lacking := registry.Unstored()
	assert.Equal(t, len(lacking), 1)
	assert.Assert(t, lacking[0].Local)
	registry.MarkStored(lacking[0])
	assert.Equal(t, len(registry.Unstored()), 0)
	registry.Crashed(3, []InFlight{poison})
	assert.Equal(t, len(registry.Unstored()), 1)
	assert.Equal(t, len(registry.TakeRemovals()), 0)
	registry.Answered(poison.Keys)
	assert.DeepEqual(t, registry.TakeRemovals(), poison.Keys)
	assert.Equal(t, len(registry.TakeRemovals()), 0)

	// A daemon that learns from another one that a record is stored must not store it again.
	other := newFakeClockRegistry()
	other.Merge([]Record{lacking[0]})
	assert.Equal(t, len(other.Unstored()), 1)
	stored := lacking[0]
	stored.Stored = true
	assert.Equal(t, len(other.Merge([]Record{stored})), 1)
	assert.Equal(t, len(other.Unstored()), 0)
	assert.Equal(t, len(other.Merge([]Record{stored})), 0)
}

// A record that is full of crashes under one caller's requests must still take the first crash of
// another caller, so that the request is quarantined for both.
func TestFullRecordKnowsEachCaller(t *testing.T) {
	registry := newFakeClockRegistry()
	for crash := range uint64(2 * maxCrashes) {
		registry.Crashed(crash, []InFlight{inFlightOf("/deadly", "one")})
	}
	other := inFlightOf("/deadly", "other")
	assert.Assert(t, !registry.Evaluate(other.Keys, "other").Quarantined)
	registry.Crashed(1000, []InFlight{other})
	assert.Assert(t, registry.Evaluate(other.Keys, "other").Quarantined)
	assert.Assert(t, registry.Evaluate(other.Keys, "one").Quarantined)
}
