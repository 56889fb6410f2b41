package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// allowanceDaemon is a daemon with its rate limiting service.
type allowanceDaemon struct {
	fleet   atomic.Pointer[Fleet]
	service *allowance.Service
}

// send drops messages that are sent before the daemon has started.
func (l *allowanceDaemon) send(message allowance.Message) {
	if fleet := l.fleet.Load(); fleet != nil {
		fleet.SendAllowance(message)
	}
}

// runAllowanceDaemons starts daemons that share limits, waits until they know each other and runs
// test.
func runAllowanceDaemons(t *testing.T, count int, test func(ctx context.Context, daemons []*allowanceDaemon)) {
	runDaemons(t, nil, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var daemons []*allowanceDaemon
		for index := range count {
			daemon := &allowanceDaemon{}
			member := memberAt(fmt.Sprintf("%c-%d", 'A'+index, index), fmt.Sprintf("x:%d", index))
			daemon.service = allowance.New(allowance.Config{
				Self: member.Node, Bounds: allowance.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
				Send:   daemon.send,
				Random: func() float64 { return 0.5 }, Logger: logr.Discard(),
			})
			daemon.fleet.Store(start(member, func(config *Config) { config.Allowances = daemon.service }))
			go daemon.service.Run(ctx)
			daemons = append(daemons, daemon)
		}
		time.Sleep(20 * time.Second)
		test(ctx, daemons)
	})
}

// Calls at any daemon share one limit over the connections of the fleet. Refused calls get a retry
// delay.
func TestDaemonsShareALimit(t *testing.T) {
	runAllowanceDaemons(t, 12, func(ctx context.Context, daemons []*allowanceDaemon) {
		limit := allowance.Limit{Rate: 1, Burst: 24}
		granted := 0
		for round := range 10 {
			for _, daemon := range daemons {
				_, err := daemon.service.Take(ctx, "account/a", limit, 1, false)
				if err == nil {
					granted++
					continue
				}
				code, _ := result.CodeOf(err)
				assert.Equal(t, code, result.CallRateLimited)
				assert.Assert(t, err.(*result.Error).RetryAfter > 0, "round %d", round)
			}
		}
		assert.Assert(t, granted >= 24, "%d granted", granted)
		assert.Assert(t, granted <= 29*11/10+20, "%d granted", granted)
	})
}

// Returned credit of calls that did not run can be used again, at other daemons as well, since the
// bucket was not full recently.
func TestCreditComesBackToTheOwner(t *testing.T) {
	runAllowanceDaemons(t, 6, func(ctx context.Context, daemons []*allowanceDaemon) {
		limit := allowance.Limit{Rate: 2, Burst: 40}
		for round, err := 0, error(nil); err == nil; round++ {
			_, err = daemons[round%6].service.Take(ctx, "account/a", limit, 1, false)
		}
		time.Sleep(5 * time.Second)
		for round := range 100 {
			giveBack, err := daemons[round%6].service.Take(ctx, "account/a", limit, 1, false)
			assert.NilError(t, err, "round %d", round)
			giveBack()
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// A daemon that is linked to only because it owns allowances gets no calls.
func TestOwnersOfAllowancesGetNoMoreCalls(t *testing.T) {
	owner := peerIn("owner", "a", 1)
	owner.stopMaintaining, owner.allowanceOnly = func() {}, true
	owner.announcement = &lapisv1.Announcement{Endpoints: []*lapisv1.Endpoint{{Service: "desk", Instance: "i-1"}}}
	self := newTestFleet(1, owner)
	assert.Equal(t, len(self.Endpoints("desk")), 0)
	owner.allowanceOnly = false
	assert.Equal(t, len(self.Endpoints("desk")), 1)
}
