package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An attempt starts at most once, and never after it was fenced.
func TestAttemptsStartOnceAndNotAfterAFence(t *testing.T) {
	for name, row := range map[string]struct {
		steps string
		want  string
	}{
		// c claims, s starts, f fences, F forgets. Results: k known, n not known; Y may start, N
		// may not; ! started before, . not started before; - forgotten.
		"claimed and started":                  {"cs", "nY"},
		"claimed twice":                        {"cc", "nk"},
		"started twice":                        {"css", "nYN"},
		"started without a claim":              {"s", "N"},
		"fenced, then claimed":                 {"fc", ".k"},
		"fenced, then started without a claim": {"fs", ".N"},
		"fenced while waiting":                 {"cfs", "n.N"},
		"fenced after the start":               {"csf", "nY!"},
		"fenced twice while waiting":           {"cffs", "n..N"},
		"forgotten, then claimed again":        {"cFc", "n-n"},
	} {
		t.Run(name, func(t *testing.T) {
			cache := newDedupCache(time.Minute, func() time.Time { return time.Unix(1000, 0) })
			got := ""
			for _, step := range row.steps {
				switch step {
				case 'c':
					_, known := cache.Claim("a", attemptWaiting)
					got += map[bool]string{true: "k", false: "n"}[known]
				case 's':
					got += map[bool]string{true: "Y", false: "N"}[cache.Start("a")]
				case 'f':
					got += map[bool]string{true: "!", false: "."}[cache.Fence("a")]
				case 'F':
					cache.Forget("a")
					got += "-"
				}
			}
			assert.Equal(t, got, row.want)
		})
	}
}

// Identifiers are remembered until they expire; the oldest are evicted first if there are too many.
func TestDedupCacheForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	cache := newDedupCache(time.Minute, func() time.Time { return now })
	known := func(id string) bool {
		_, known := cache.Claim(id, attemptStarted)
		return known
	}
	assert.Assert(t, !known("first"))
	now = now.Add(time.Minute - 1)
	assert.Assert(t, known("first"))
	now = now.Add(1)
	assert.Assert(t, !known("first"))
	for id := range maxDedupEntries {
		known(fmt.Sprint(id))
	}
	assert.Assert(t, !known("first"))
	assert.Equal(t, len(cache.entries), maxDedupEntries)
}
