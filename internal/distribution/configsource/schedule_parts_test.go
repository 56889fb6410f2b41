package configsource

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortestContact is the shortest contact time that sites use, as a fraction of the bound.
const shortestContact = 1.2

// Checks the relations between the fractions of the bound; each row states the reason why lower
// must be below upper.
func TestParts(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper float64
	}{
		{"the active poller polls again before the other daemons do", ActivePollFraction, StandbyPollMinFraction},
		{"the active poller's poll may be late by its whole interval", ActivePollFraction + ActivePollFraction, StandbyPollMinFraction + 1e-9},
		{"the other daemons draw their poll time from a non-empty interval", StandbyPollMinFraction, standbyPollMaxFraction},
		{"the last daemon to poll has the answer within the bound", standbyPollMaxFraction + AnswerTimeoutFraction, 1},
		{"two fifths of the bound are left for the answer and for a slow daemon", standbyPollMaxFraction + 0.4, 1 + 1e-9},
		{"a starting daemon has an answer within the bound", startupPollMaxFraction + AnswerTimeoutFraction, 1},
		{"a waiting call shortens the delay of the first poll", awaitedPollMaxFraction, startupPollMaxFraction},
		{"a poll is repeated only after its answer timeout", AnswerTimeoutFraction, retryMinFraction},
		{"a daemon without a configuration repeats a poll only after its answer timeout", AnswerTimeoutFraction, retryMinFraction*startupRetryFactor + 1e-9},
		{"retry delays are drawn from a non-empty interval", retryMinFraction, retryMaxFraction},
		{"a poll that follows an unanswered one has its answer within the contact time", retryMaxFraction + AnswerTimeoutFraction, shortestContact},
		{"the active poller has the orders within their bound, whatever the position", ordersPollFraction + ActivePollFraction + AnswerTimeoutFraction, 1},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %g is not below %g", row.why, row.lower, row.upper)
	}
}

// sourceHistory is the minimum time for which sources keep their history.
const sourceHistory = 10 * time.Second

// Checks the relations to fixed times, with the shortest and the longest bound that sites use.
func TestTimesBesideTheBound(t *testing.T) {
	const shortest, longest = time.Second, 5 * time.Second
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"the history after the last answer still exists when it is requested", historyMaxAge, sourceHistory},
		{"the active poller always continues from its last answer", fractionOf(longest, ActivePollFraction+AnswerTimeoutFraction), historyMaxAge},
		{"a waiting call is detected before the shortened delay ends", awaitedCheckInterval, fractionOf(shortest, awaitedPollMaxFraction)},
		{"the answer timeout is longer after an unanswered poll", answerTimeout(shortest, false), answerTimeout(shortest, true)},
		{"the wait of a poll is negligible", minNextWait, answerTimeout(shortest, false) / 100},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}
