package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// bench is a registry with a clock of its own.
type bench struct {
	*Registry
	now time.Time
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Registry = NewRegistry(func() time.Time { return b.now })
	return b
}

func lineOf(path string) fingerprint.Line {
	return fingerprint.Line{Method: "GET", Host: "a.example", Target: path}
}

func inFlightOf(path, caller string) InFlight {
	line := lineOf(path)
	return InFlight{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, nil).Whole(), Caller: caller}
}

func TestHeldBackFromTheThirdEnd(t *testing.T) {
	b, guilty := newBench(), inFlightOf("/deadly", "desk")
	for end := range uint64(3) {
		assert.Assert(t, !b.Judge(guilty.Keys, "desk").Quarantined)
		assert.Equal(t, MayRepeat(b.Count(guilty.Keys)), end < 2)
		b.Registry.Crashed(end, []InFlight{guilty})
		// The same end, told again, counts once.
		b.Registry.Crashed(end, []InFlight{guilty})
	}
	verdict := b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, trialAfter)
	assert.Assert(t, b.Suspected(lineOf("/deadly")))
	assert.Assert(t, !b.Suspected(lineOf("/other")))
}

// Requests that only ran beside a guilty one are cleared by their next answer, and not
// suspected any more once the guilty one stands out.
func TestOnesThatRanBesideAreCleared(t *testing.T) {
	b, guilty, beside, late := newBench(), inFlightOf("/deadly", "desk"), inFlightOf("/fine", "desk"), inFlightOf("/late", "desk")
	b.Registry.Crashed(1, []InFlight{guilty, beside})
	assert.Equal(t, len(b.Answered(beside.Keys)), 1)
	assert.Equal(t, b.Count(beside.Keys), 0)
	assert.Assert(t, !b.Suspected(lineOf("/fine")))
	b.Registry.Crashed(2, []InFlight{guilty, beside})
	b.Registry.Crashed(3, []InFlight{guilty, late})
	assert.Equal(t, b.Count(late.Keys), 0)
	assert.Equal(t, b.Count(guilty.Keys), 3)
	// News of an end that was refuted does not count again.
	b.Merge([]Record{{Key: beside.Keys[0], Head: beside.Head, Crashes: []Crash{{ID: 1, Caller: "desk"}}}})
	assert.Equal(t, b.Count(beside.Keys), 1)
}

// Nobody can have another caller's requests held back, nor make the registry forget.
func TestCallersDoNotReachEachOther(t *testing.T) {
	b, theirs := newBench(), inFlightOf("/same", "attacker")
	for end := range uint64(5) {
		b.Registry.Crashed(end, []InFlight{theirs})
	}
	assert.Assert(t, b.Judge(theirs.Keys, "attacker").Quarantined)
	assert.Assert(t, !b.Judge(theirs.Keys, "victim").Quarantined)
	// An end under the victim's own is enough then.
	b.Registry.Crashed(10, []InFlight{inFlightOf("/same", "victim")})
	assert.Assert(t, b.Judge(theirs.Keys, "victim").Quarantined)

	guilty := inFlightOf("/deadly", "victim")
	for end := range uint64(3) {
		b.Registry.Crashed(20+end, []InFlight{guilty})
	}
	for flood := range uint64(maxSuspects + 100) {
		b.Registry.Crashed(100+flood, []InFlight{inFlightOf(fmt.Sprintf("/flood/%d", flood), "attacker")})
	}
	assert.Assert(t, b.Judge(guilty.Keys, "victim").Quarantined)
	suspects, _ := b.Sizes()
	assert.Assert(t, suspects <= maxSuspects)
}

// A query that changes with every try does not hide what is asked for, and others that ask
// for the path with other queries are not held back while they are answered.
func TestQueries(t *testing.T) {
	b := newBench()
	for end := range uint64(3) {
		b.Registry.Crashed(end, []InFlight{inFlightOf(fmt.Sprintf("/deadly?page=%d", end), "desk")})
	}
	assert.Assert(t, b.Judge(inFlightOf("/deadly?page=9", "desk").Keys, "desk").Quarantined)

	other := newBench()
	for end := range uint64(3) {
		other.Registry.Crashed(end, []InFlight{inFlightOf("/search?q=deadly", "desk")})
		other.Answered(inFlightOf("/search?q=fine", "desk").Keys)
	}
	assert.Assert(t, other.Judge(inFlightOf("/search?q=deadly", "desk").Keys, "desk").Quarantined)
	assert.Assert(t, !other.Judge(inFlightOf("/search?q=fine", "desk").Keys, "desk").Quarantined)
}

// One may run after a while, to see; another end holds it back until it is forgotten, and an
// answer frees it.
func TestTrial(t *testing.T) {
	b, guilty := newBench(), inFlightOf("/deadly", "desk")
	for end := range uint64(3) {
		b.Registry.Crashed(end, []InFlight{guilty})
	}
	b.now = b.now.Add(trialAfter)
	verdict := b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && verdict.TrialDue)
	assert.Equal(t, len(b.NoteTried(verdict.Key, verdict.Trials+1)), 1)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").TrialDue)
	b.Registry.Crashed(9, []InFlight{guilty})
	verdict = b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Quarantined && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, memory)
	b.Answered(guilty.Keys)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").Quarantined)
}

func TestForgotten(t *testing.T) {
	b, guilty := newBench(), inFlightOf("/deadly", "desk")
	for end := range uint64(3) {
		b.Registry.Crashed(end, []InFlight{guilty})
	}
	b.now = b.now.Add(memory + time.Second)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").Quarantined)
	b.Registry.Crashed(9, nil)
	suspects, _ := b.Sizes()
	assert.Equal(t, suspects, 0)
	assert.Assert(t, !b.Suspected(lineOf("/deadly")))
}

// What daemons tell each other ends the same in whatever order it comes, and more than once.
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
		told := rapid.SliceOfN(record, 1, 5).Draw(t, "told")
		one, other := newBench(), newBench()
		one.Merge(told)
		for _, index := range rapid.Permutation(indices(len(told))).Draw(t, "order") {
			other.Merge([]Record{told[index]})
			other.Merge([]Record{told[index]})
		}
		assert.Equal(t, one.Count([]fingerprint.Key{key}), other.Count([]fingerprint.Key{key}))
		assert.Equal(t, len(Records(Message(one.Known()))), 1)
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for index := range all {
		all[index] = index
	}
	return all
}

// What changed without the store's knowing is stored, and what was cleared taken out.
func TestWhatTheStoreLacks(t *testing.T) {
	b, guilty := newBench(), inFlightOf("/deadly", "desk")
	b.Registry.Crashed(1, []InFlight{guilty})
	assert.Equal(t, len(b.Unstored()), 0)
	b.Registry.Crashed(2, []InFlight{guilty})
	lacking := b.Unstored()
	assert.Equal(t, len(lacking), 1)
	assert.Assert(t, lacking[0].Here)
	b.NoteStored(lacking[0])
	assert.Equal(t, len(b.Unstored()), 0)
	b.Registry.Crashed(3, []InFlight{guilty})
	assert.Equal(t, len(b.Unstored()), 1)
	assert.Equal(t, len(b.Cleared()), 0)
	b.Answered(guilty.Keys)
	assert.DeepEqual(t, b.Cleared(), guilty.Keys)
	assert.Equal(t, len(b.Cleared()), 0)

	// Another daemon that hears that it is stored does not store it.
	other := newBench()
	other.Merge([]Record{lacking[0]})
	assert.Equal(t, len(other.Unstored()), 1)
	stored := lacking[0]
	stored.Stored = true
	assert.Equal(t, len(other.Merge([]Record{stored})), 1)
	assert.Equal(t, len(other.Unstored()), 0)
	assert.Equal(t, len(other.Merge([]Record{stored})), 0)
}

// However many instances ended under what one caller sends, another one is held back from its
// first on.
func TestFullRecordKnowsEachCaller(t *testing.T) {
	b := newBench()
	for end := range uint64(2 * maxCrashes) {
		b.Registry.Crashed(end, []InFlight{inFlightOf("/deadly", "one")})
	}
	other := inFlightOf("/deadly", "other")
	assert.Assert(t, !b.Judge(other.Keys, "other").Quarantined)
	b.Registry.Crashed(1000, []InFlight{other})
	assert.Assert(t, b.Judge(other.Keys, "other").Quarantined)
	assert.Assert(t, b.Judge(other.Keys, "one").Quarantined)
}
