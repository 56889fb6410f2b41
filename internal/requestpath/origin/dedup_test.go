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
		// c claims, s starts, f fences, F forgets; the results are whether it was known, may
		// start, was started before.
		"it comes and starts":                   {"cs", "nY"},
		"it comes twice":                        {"cc", "nk"},
		"it starts twice":                       {"css", "nYN"},
		"it starts without having come":         {"s", "N"},
		"fenced before it comes":                {"fc", ".k"},
		"fenced before it comes does not start": {"fs", ".N"},
		"fenced while it waits":                 {"cfs", "n.N"},
		"fenced after it started":               {"csf", "nY!"},
		"fenced twice while it waits":           {"cffs", "n..N"},
		"forgotten, it may come again":          {"cFc", "n-n"},
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

// Identifiers are remembered for their time, and the oldest go first where there are too many.
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
