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

// deafStore is a store of roll-outs that answers nothing.
type deafStore struct{}

func (deafStore) WriteStatus(_ context.Context, write rollout.Write) rollout.Answer {
	return rollout.Answer{Write: write, Outcome: rollout.OutcomeUnknown}
}
func (deafStore) Ask(context.Context, string) (*rollout.Order, error) { return nil, context.Canceled }
func (deafStore) AnsweredAt() time.Time                               { return time.Time{} }

// rollingPlatform is a platform with such a store.
type rollingPlatform struct{ idlePlatform }

func (rollingPlatform) Rollouts() rollout.Store { return deafStore{} }

// followRollout returns the part in roll-outs of a daemon that follows an order which came
// to be at revision 5, and what it decides then: the names of its lines.
func followRollout(t *testing.T) (part *rollouts, decide func() (lines string)) {
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
	running, err := New(&config, Options{Logger: logger, Platform: rollingPlatform{}})
	assert.NilError(t, err)
	t.Cleanup(running.listeners.close)
	part = platformPart(t, running).rollouts
	part.ordered(rolling(6, 5))
	return part, func() string {
		part.runner.Tick(t.Context())
		mutex.Lock()
		defer mutex.Unlock()
		return lines
	}
}

// rolling are orders at a revision with a roll-out that came to be at another one, 0 for
// none.
func rolling(revision, created uint64) *orders.Set {
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

// wordOf is one of another daemon.
func wordOf(incarnation uint64, phase rollout.Phase) *lapisv1.RolloutWord {
	return rollout.WordMessage(rollout.Word{
		Service: "desk", Node: "b", Incarnation: incarnation, Sequence: 1, Order: identityAt(5), Phase: phase,
	})
}

// What a daemon said holds no more once it started again, whatever number it has then, or
// once it cannot be heard.
func TestWordsHoldWhileTheirDaemonIsHeard(t *testing.T) {
	const step = `"to"="rolling_back"`
	for name, row := range map[string]struct {
		happens func(*rollouts)
		follows bool
	}{
		"nothing": {func(*rollouts) {}, false},
		"heard":   {func(part *rollouts) { part.Word(wordOf(9, rollout.PhaseRollingBack)) }, true},
		"heard again": {func(part *rollouts) {
			part.Word(wordOf(9, rollout.PhaseProbing))
			part.Word(wordOf(3, rollout.PhaseRollingBack))
		}, true},
		"lost": {func(part *rollouts) {
			part.Word(wordOf(9, rollout.PhaseRollingBack))
			part.Unlinked("b")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			part, decide := followRollout(t)
			row.happens(part)
			assert.Equal(t, strings.Contains(decide(), step), row.follows)
		})
	}
}

// A set from before the order came to be does not take it away; a later one does.
func TestOlderOrdersTakeNoRolloutAway(t *testing.T) {
	for revision, gone := range map[uint64]bool{4: false, 5: false, 7: true} {
		part, decide := followRollout(t)
		part.ordered(rolling(revision, 0))
		assert.Equal(t, strings.Contains(decide(), `"reading"="withdrawn"`), gone, "revision %d", revision)
		assert.Equal(t, len(part.runner.Running()) > 0, !gone)
	}
}
