package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// statingRemote keeps the openings of all attempts.
type statingRemote struct {
	scriptedRemote
	limit   *float64
	opening []*lapisv1.CallOpen
}

// Handle implements Remote.
func (r *statingRemote) Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error) {
	r.opening = append(r.opening, call.Open)
	answer, err := r.scriptedRemote.Handle(ctx, address, call)
	if err == nil {
		answer.Head.StatedLimit = r.limit
	}
	return answer, err
}

// Guards against a daemon that restarts beside an instance and does not learn of its limit from the
// daemons that know it.
func TestCallsCarryTheLimitThatTheirInstanceStated(t *testing.T) {
	stated := 6.4
	remote := &statingRemote{scriptedRemote: scriptedRemote{script: []any{200}}, limit: &stated}
	attempt := newAttempter(t, remote, true, retry.Limits{})
	targets := attempt.gateway.config.Balancer.Targets("desk")
	first, err := attempt.run(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, remote.opening[0].StatedLimit == nil)
	for _, target := range targets {
		opening := attempt.newOpening(t.Context(), target)
		if target == first.target {
			assert.Equal(t, opening.GetStatedLimit(), stated)
			continue
		}
		assert.Assert(t, opening.StatedLimit == nil)
	}
	remote.limit = nil
	first.target.RecordStatement(statedLimit(&lapisv1.CallHead{}), false)
	assert.Assert(t, attempt.newOpening(t.Context(), first.target).StatedLimit == nil)
}

// A call that an instance's limit leaves over goes to another instance at once, without the retry budget.
func TestLimitRefusalsAreTriedElsewhere(t *testing.T) {
	limited := result.Errorf(result.CallNotRunLimited, "limited")
	limited.RetryAfter = time.Hour
	for name, row := range map[string]struct {
		script   []any
		attempts int
		served   bool
	}{
		"another one answers": {[]any{limited, limited, 200}, 3, true},
		"all are limited":     {[]any{limited}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &scriptedRemote{script: row.script}
			attempt := newAttempter(t, remote, false, retry.Limits{})
			_, err := attempt.run(t.Context())
			assert.Equal(t, remote.calls, row.attempts)
			assert.Equal(t, err == nil, row.served)
			assert.Assert(t, row.served || result.Is(err, result.CallNotRunLimited), "%v", err)
		})
	}
}
