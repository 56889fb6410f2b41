package configsource

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The parts of the bound hang together; each row says which must be below which, and why.
func TestParts(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper float64
	}{
		{"the active poller polls again before others do", LeadPart, EarliestPart},
		{"the active poller may answer late by as much as it waits", LeadPart + LeadPart, EarliestPart + 1e-9},
		{"other daemons draw their time from an interval", EarliestPart, latestPart},
		{"whoever polls last has the answer within the bound", latestPart + AnswerPart, 1},
		{"two fifths of the bound are left for the answer and what a slow daemon adds", latestPart + 0.4, 1 + 1e-9},
		{"a daemon that starts polls within the bound", startPart + AnswerPart, 1},
		{"a call that waits hurries the first poll", awaitedPart, startPart},
		{"a poll is repeated when its answer would have come", AnswerPart, retryMinPart},
		{"so it is by a daemon without a configuration", AnswerPart, retryMinPart*startRetryPart + 1e-9},
		{"retries are drawn from an interval", retryMinPart, retryMaxPart},
		{"the active poller has the orders within their bound, whatever the position says", ordersPart + LeadPart + AnswerPart, 1},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %g is not below %g", row.why, row.lower, row.upper)
	}
}

// sourceHistory is how long sources keep their history at the least.
const sourceHistory = 10 * time.Second

// With the shortest and the longest bound that sites have.
func TestTimesBesideTheBound(t *testing.T) {
	const shortest, longest = time.Second, 5 * time.Second
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"the history after the last answer is there when it is asked for", historyTrusted, sourceHistory},
		{"the active poller's history is never too old", part(longest, LeadPart+AnswerPart), historyTrusted},
		{"a waiting call is noticed before the first poll it hurries", awaitedCheck, part(shortest, awaitedPart)},
		{"an answer is waited for longer after one was missed", answerTimeout(shortest, false), answerTimeout(shortest, true)},
		{"a poll that only asks what is there does not wait", shortestWait, answerTimeout(shortest, false) / 100},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}
