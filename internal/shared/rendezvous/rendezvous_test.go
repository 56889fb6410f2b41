package rendezvous_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// Scores must not change between builds: daemons of different builds must rank candidates identically,
// so the scores are part of the protocol.
func TestScoresStay(t *testing.T) {
	assert.Equal(t, rendezvous.Score("daemon-1", "instance-1"), uint64(2475630706199364478))
	assert.Equal(t, rendezvous.Score("", ""), uint64(12992238638986043772))
}
