package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/fingerprint"
)

// bench is a book with a clock of its own.
type bench struct {
	*Book
	now time.Time
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0)}
	b.Book = NewBook(func() time.Time { return b.now })
	return b
}

func aboardOf(path, caller string) Aboard {
	line := fingerprint.Line{Method: "GET", Host: "a.example", Target: path}
	return Aboard{Head: fingerprint.HeadOf(line), Keys: fingerprint.Of(line, nil).Whole(), Caller: caller}
}

func TestHeldBackFromTheThirdEnd(t *testing.T) {
	b, guilty := newBench(), aboardOf("/deadly", "desk")
	for end := range uint64(3) {
		assert.Assert(t, !b.Judge(guilty.Keys, "desk").Held)
		assert.Equal(t, b.MayRepeat(guilty.Keys), end < 2)
		b.Book.Ended(end, []Aboard{guilty})
		// The same end, told again, counts once.
		b.Book.Ended(end, []Aboard{guilty})
	}
	verdict := b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Held && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, trialAfter)
	assert.Assert(t, b.Suspected(guilty.Head))
	assert.Assert(t, !b.Suspected(aboardOf("/other", "desk").Head))
}

// Requests that only ran beside a guilty one are cleared by their next answer, and not
// suspected any more once the guilty one stands out.
func TestOnesThatRanBesideAreCleared(t *testing.T) {
	b, guilty, beside, late := newBench(), aboardOf("/deadly", "desk"), aboardOf("/fine", "desk"), aboardOf("/late", "desk")
	b.Book.Ended(1, []Aboard{guilty, beside})
	assert.Equal(t, len(b.Answered(beside.Keys)), 1)
	assert.Equal(t, b.Count(beside.Keys), 0)
	assert.Assert(t, !b.Suspected(beside.Head))
	b.Book.Ended(2, []Aboard{guilty, beside})
	b.Book.Ended(3, []Aboard{guilty, late})
	assert.Equal(t, b.Count(late.Keys), 0)
	assert.Equal(t, b.Count(guilty.Keys), 3)
	// News of an end that was refuted does not count again.
	b.Merge([]Record{{Key: beside.Keys[0], Head: beside.Head, Endings: []Ending{{ID: 1, Caller: "desk"}}}})
	assert.Equal(t, b.Count(beside.Keys), 1)
}

// Nobody can have another caller's requests held back, nor make the book forget.
func TestCallersDoNotReachEachOther(t *testing.T) {
	b, theirs := newBench(), aboardOf("/same", "attacker")
	for end := range uint64(5) {
		b.Book.Ended(end, []Aboard{theirs})
	}
	assert.Assert(t, b.Judge(theirs.Keys, "attacker").Held)
	assert.Assert(t, !b.Judge(theirs.Keys, "victim").Held)
	// An end under the victim's own is enough then.
	b.Book.Ended(10, []Aboard{aboardOf("/same", "victim")})
	assert.Assert(t, b.Judge(theirs.Keys, "victim").Held)

	guilty := aboardOf("/deadly", "victim")
	for end := range uint64(3) {
		b.Book.Ended(20+end, []Aboard{guilty})
	}
	for flood := range uint64(maxSuspects + 100) {
		b.Book.Ended(100+flood, []Aboard{aboardOf(fmt.Sprintf("/flood/%d", flood), "attacker")})
	}
	assert.Assert(t, b.Judge(guilty.Keys, "victim").Held)
	suspects, _ := b.Sizes()
	assert.Assert(t, suspects <= maxSuspects)
}

// A query that changes with every try does not hide what is asked for, and others that ask
// for the path with other queries are not held back while they are answered.
func TestQueries(t *testing.T) {
	b := newBench()
	for end := range uint64(3) {
		b.Book.Ended(end, []Aboard{aboardOf(fmt.Sprintf("/deadly?page=%d", end), "desk")})
	}
	assert.Assert(t, b.Judge(aboardOf("/deadly?page=9", "desk").Keys, "desk").Held)

	other := newBench()
	for end := range uint64(3) {
		other.Book.Ended(end, []Aboard{aboardOf("/search?q=deadly", "desk")})
		other.Answered(aboardOf("/search?q=fine", "desk").Keys)
	}
	assert.Assert(t, other.Judge(aboardOf("/search?q=deadly", "desk").Keys, "desk").Held)
	assert.Assert(t, !other.Judge(aboardOf("/search?q=fine", "desk").Keys, "desk").Held)
}

// One may run after a while, to see; another end holds it back until it is forgotten, and an
// answer frees it.
func TestTrial(t *testing.T) {
	b, guilty := newBench(), aboardOf("/deadly", "desk")
	for end := range uint64(3) {
		b.Book.Ended(end, []Aboard{guilty})
	}
	b.now = b.now.Add(trialAfter)
	verdict := b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Held && verdict.TrialDue)
	assert.Equal(t, len(b.Tried(verdict.Key, verdict.Trials+1)), 1)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").TrialDue)
	b.Book.Ended(9, []Aboard{guilty})
	verdict = b.Judge(guilty.Keys, "desk")
	assert.Assert(t, verdict.Held && !verdict.TrialDue)
	assert.Equal(t, verdict.RetryAfter, memory)
	b.Answered(guilty.Keys)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").Held)
}

func TestForgotten(t *testing.T) {
	b, guilty := newBench(), aboardOf("/deadly", "desk")
	for end := range uint64(3) {
		b.Book.Ended(end, []Aboard{guilty})
	}
	b.now = b.now.Add(memory + time.Second)
	assert.Assert(t, !b.Judge(guilty.Keys, "desk").Held)
	b.Book.Ended(9, nil)
	assert.Assert(t, b.Empty())
}

// What daemons tell each other ends the same in whatever order it comes, and more than once.
func TestMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := aboardOf("/deadly", "").Keys[0]
		record := rapid.Custom(func(t *rapid.T) Record {
			made := Record{Key: key}
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 0, 4, rapid.ID).Draw(t, "endings") {
				made.Endings = append(made.Endings, Ending{ID: id, Caller: "desk"})
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
		assert.Equal(t, len(Records(Message(one.Told()))), 1)
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
	b, guilty := newBench(), aboardOf("/deadly", "desk")
	b.Book.Ended(1, []Aboard{guilty})
	assert.Equal(t, len(b.Unstored()), 0)
	b.Book.Ended(2, []Aboard{guilty})
	lacking := b.Unstored()
	assert.Equal(t, len(lacking), 1)
	assert.Assert(t, lacking[0].Here)
	b.Store(lacking[0])
	assert.Equal(t, len(b.Unstored()), 0)
	b.Book.Ended(3, []Aboard{guilty})
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
