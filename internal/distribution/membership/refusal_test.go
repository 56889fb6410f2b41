package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestEachVerdictHasItsRefusal(t *testing.T) {
	cases := []struct {
		verdict  membership.JoinVerdict
		code     result.Code
		referral membership.Referral
		shortest time.Duration
		longest  time.Duration
	}{
		{membership.JoinDetached, result.DistributionDetached, membership.ReferToNobody, 500 * time.Millisecond, 500 * time.Millisecond},
		{membership.JoinLoop, result.DistributionLoop, membership.ReferToNobody, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinTooDeep, result.DistributionTooDeep, membership.ReferToZoneReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinForeign, result.DistributionParentFull, membership.ReferToReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinReadersFirst, result.DistributionParentFull, membership.ReferToZoneReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinFull, result.DistributionParentFull, membership.ReferToChildren, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinTooFast, result.DistributionParentFull, membership.ReferToChildren, 300 * time.Millisecond, 600 * time.Millisecond},
	}
	for _, test := range cases {
		refusal := membership.RefuseJoin(test.verdict, 0)
		assert.Equal(t, refusal.Code, test.code)
		assert.Equal(t, refusal.Referral, test.referral)
		assert.Equal(t, refusal.RetryAfter, test.shortest)
		assert.Equal(t, membership.RefuseJoin(test.verdict, 1).RetryAfter, test.longest)
		assert.Assert(t, refusal.Reason != "")
	}
}

// A child waits for a parent without a path to a reader for the detached grace; one that
// asks such a parent must be able to ask again within it.
func TestRetryAtADetachedParentLiesWithinTheGrace(t *testing.T) {
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		retry := membership.RefuseJoin(membership.JoinDetached, 1).RetryAfter
		assert.Assert(t, retry < profile.DetachedGrace.Get())
	}
}
