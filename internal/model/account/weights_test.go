package account

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// The weight of an account is its rate limit; an account without a limit has the highest weight.
func TestWeightsFollowRateLimits(t *testing.T) {
	directory := NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{
		{Name: "large", CallsPerSecond: 300}, {Name: "small", CallsPerSecond: 0.2}, {Name: "free"},
	}})
	assert.DeepEqual(t, directory.Weights(), map[string]uint32{"large": 300, "small": 1, "free": 300})
	unlimited := NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{{Name: "a"}, {Name: "b"}}})
	assert.Assert(t, unlimited.Weights() == nil)
	assert.Assert(t, (*Directory)(nil).Weights() == nil)
}

// Calls without an account have the median priority of the accounts.
func TestUsualPriorityIsThatOfMostAccounts(t *testing.T) {
	directory := NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{
		{Name: "a", Priority: 0}, {Name: "b", Priority: 2}, {Name: "c", Priority: 1}, {Name: "d", Priority: 1},
	}})
	assert.Equal(t, directory.MedianPriority(), uint32(1))
	assert.Equal(t, (*Directory)(nil).MedianPriority(), uint32(0))
}
