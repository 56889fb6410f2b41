package origin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// coldDuration is how long the tests' instances stay cold, and maxAdmittedPerSecond what one of
// them must not get more than in any second: 4 calls a second, times 1.5, and 6.
const (
	coldDuration         = 3 * time.Second
	maxAdmittedPerSecond = 12
)

// fixture is an origin with one instance, whose heartbeats the test sends.
type fixture struct {
	*Origin
	t        *testing.T
	sequence uint64

	// recordMutex protects everything below.
	recordMutex sync.Mutex
	changes     int
	lines       []string
}

// newFixture returns an origin whose pool states perSecond calls a second of a cold instance; one
// without a configuration where that is negative.
func newFixture(t *testing.T, perSecond float64) *fixture {
	t.Helper()
	made := &fixture{t: t}
	made.Origin = New(Config{
		QueueLength: 64, QueueTime: time.Second, Cold: ColdBound{Overshoot: 1.5, Allowance: 6},
		Changed: func() { made.withLock(func() { made.changes++ }) },
		Logger:  funcr.New(func(_, line string) { made.withLock(func() { made.lines = append(made.lines, line) }) }, funcr.Options{}),
	})
	if perSecond >= 0 {
		made.configureColdRate(perSecond)
	}
	return made
}

func (b *fixture) withLock(change func()) {
	b.recordMutex.Lock()
	defer b.recordMutex.Unlock()
	change()
}

// configureColdRate puts a configuration in force.
func (b *fixture) configureColdRate(perSecond float64) {
	configuration, err := meshconfig.Compose(meshconfig.Composition{Revision: 1, Pools: []*lapisv1.Pool{{
		Name: "desk", Group: meshconfig.DefaultGroup, Slots: 100, ConnectionLimit: 100,
		ColdCallsPerSecond: perSecond, ColdStartMillis: uint32(coldDuration.Milliseconds()),
	}}}, nil)
	assert.NilError(b.t, err)
	store := &snapshot.Store{}
	assert.NilError(b.t, store.ReplaceConfiguration(configuration))
	b.Configure(store.Current())
}

// heartbeat has the instance state that it stays cold for so long; older tells how many
// heartbeats ago it was sent.
func (b *fixture) heartbeat(coldFor time.Duration, sentEarlier uint64) {
	b.sequence++
	b.Register(Registration{
		Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100,
		Sequence: b.sequence - sentEarlier, ColdFor: coldFor,
	})
}

// admitFor tries to start calls without a pause, for so long, and returns how many were admitted.
func (b *fixture) admitFor(during time.Duration) (admitted int) {
	b.t.Helper()
	instance, ok := b.instance("desk", "desk-1")
	assert.Assert(b.t, ok)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if slot, err := instance.queue.Acquire(context.Background(), admission.Request{NoWait: true}); err == nil {
			admitted++
			slot.Release(false)
		}
	}
	return admitted
}

// contains reports whether a line has all parts.
func contains(line string, parts ...string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
}
