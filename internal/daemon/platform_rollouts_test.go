package daemon

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
)

// silentStore is a rollout.Store that never answers.
type silentStore struct{}

func (silentStore) WriteStatus(_ context.Context, write rollout.Write) rollout.Answer {
	return rollout.Answer{Write: write, Outcome: rollout.OutcomeUnknown}
}
func (silentStore) Get(context.Context, string) (*rollout.Order, error) { return nil, context.Canceled }
func (silentStore) LastAnswerTime() time.Time                           { return time.Time{} }

// rolloutPlatform is a Platform with a silentStore.
type rolloutPlatform struct{ stubPlatform }

func (rolloutPlatform) Rollouts() rollout.Store { return silentStore{} }

// followRollout returns the rollouts of a daemon with an order created at revision 5. decide runs the
// runner once and returns all lines logged so far.
func followRollout(t *testing.T) (followed *rollouts, decide func() (lines string)) {
	t.Helper()
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.PeerAddress = "a", "z", "127.0.0.1:0"
	config.Rollouts.ExposureShare = 0.1
	var mutex sync.Mutex
	var lines string
	logger := funcr.New(func(_, line string) {
		mutex.Lock()
		defer mutex.Unlock()
		lines += line
	}, funcr.Options{})
	running, err := New(&config, Options{Logger: logger, Platform: rolloutPlatform{}})
	assert.NilError(t, err)
	t.Cleanup(running.listeners.close)
	followed = platformDistributionOf(t, running).rollouts
	followed.applyOrders(rolloutOrders(6, 5))
	return followed, func() string {
		followed.runner.Tick(t.Context())
		mutex.Lock()
		defer mutex.Unlock()
		return lines
	}
}

// rolloutOrders returns orders at a revision with a roll-out created at the revision created, or without
// one if created is 0.
func rolloutOrders(revision, created uint64) *orders.Set {
	message := &lapisv1.Orders{Revision: revision}
	if created > 0 {
		order := rollout.Order{Service: "desk", Identity: identityAt(created), Revision: created}
		message.Rollouts = append(message.Rollouts, rollout.OrderMessage("desk", order))
	}
	return orders.NewSet(message)
}

func identityAt(created uint64) rollout.Identity {
	return rollout.Identity{Created: created, Target: "v2", Duration: time.Minute}
}

// announcementOf returns a RolloutWord message from daemon b.
func announcementOf(incarnation uint64, phase rollout.Phase) *lapisv1.RolloutWord {
	return rollout.AnnouncementMessage(rollout.Announcement{
		Service: "desk", Node: "b", Incarnation: incarnation, Sequence: 1, Order: identityAt(5), Phase: phase,
	})
}

// The messages of a daemon are invalid after it has restarted, whether its new incarnation is higher or
// lower, and after its link is lost.
func TestWordsHoldWhileTheirDaemonIsHeard(t *testing.T) {
	const step = `"to"="rolling_back"`
	for name, row := range map[string]struct {
		event     func(*rollouts)
		rollsBack bool
	}{
		"nothing":  {func(*rollouts) {}, false},
		"received": {func(followed *rollouts) { followed.ReceiveAnnouncement(announcementOf(9, rollout.PhaseRollingBack)) }, true},
		"received after a restart": {func(followed *rollouts) {
			followed.ReceiveAnnouncement(announcementOf(9, rollout.PhaseProbing))
			followed.ReceiveAnnouncement(announcementOf(3, rollout.PhaseRollingBack))
		}, true},
		"link lost": {func(followed *rollouts) {
			followed.ReceiveAnnouncement(announcementOf(9, rollout.PhaseRollingBack))
			followed.NodeUnlinked("b")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			followed, decide := followRollout(t)
			row.event(followed)
			assert.Equal(t, strings.Contains(decide(), step), row.rollsBack)
		})
	}
}

// A set of orders that is older than a roll-out does not withdraw it; a newer set without it does.
func TestOlderOrdersTakeNoRolloutAway(t *testing.T) {
	for revision, withdrawn := range map[uint64]bool{4: false, 5: false, 7: true} {
		followed, decide := followRollout(t)
		followed.applyOrders(rolloutOrders(revision, 0))
		assert.Equal(t, strings.Contains(decide(), `"reading"="withdrawn"`), withdrawn, "revision %d", revision)
		assert.Equal(t, len(followed.runner.Running()) > 0, !withdrawn)
	}
}
