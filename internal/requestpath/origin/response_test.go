package origin

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers behind another daemon that are told to wait for weeks, since the protocol has no negative delays.
func TestStatedRetryTimesAreInTheRangeOfTheProtocol(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "-1": 0, "Fri, 01 Jan 2027 00:00:00 GMT": 0, "0.25": 250 * time.Millisecond,
		"4294968": maxStatedRetryAfter, "9000000000": maxStatedRetryAfter,
	} {
		assert.Equal(t, retryAfterOf(http.Header{"Retry-After": {text}}), want, text)
	}
}
