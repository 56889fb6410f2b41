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

// coldDuration is how long the tests' instances stay cold, and maxAdmittedPerSecond the most calls
// that one of them may get in any second: 4 calls per second, times 1.5, plus 6.
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

// newFixture returns an origin whose pool has a rate of perSecond calls per second for cold
// instances; without a configuration if perSecond is negative.
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

func (f *fixture) withLock(change func()) {
	f.recordMutex.Lock()
	defer f.recordMutex.Unlock()
	change()
}

// configureColdRate applies a configuration with the given rate for cold instances.
func (f *fixture) configureColdRate(perSecond float64) {
	configuration, err := meshconfig.Compose(meshconfig.Composition{Revision: 1, Pools: []*lapisv1.Pool{{
		Name: "desk", Group: meshconfig.DefaultGroup, Slots: 100, ConnectionLimit: 100,
		ColdCallsPerSecond: perSecond, ColdStartMillis: uint32(coldDuration.Milliseconds()),
	}}}, nil)
	assert.NilError(f.t, err)
	store := &snapshot.Store{}
	assert.NilError(f.t, store.ReplaceConfiguration(configuration))
	f.Configure(store.Current())
}

// heartbeat sends a heartbeat that states a remaining cold time. sentEarlier makes it a delayed
// one: the number of heartbeats sent after it.
func (f *fixture) heartbeat(coldFor time.Duration, sentEarlier uint64) {
	f.sequence++
	f.Register(Registration{
		Service: "desk", Instance: "desk-1", Address: "127.0.0.1:1", Slots: 100,
		Sequence: f.sequence - sentEarlier, ColdRemaining: coldFor,
	})
}

// admitFor requests slots without a pause for the given time, and returns how many calls were
// admitted.
func (f *fixture) admitFor(during time.Duration) (admitted int) {
	f.t.Helper()
	instance, ok := f.instance("desk", "desk-1")
	assert.Assert(f.t, ok)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if slot, err := instance.queue.Acquire(context.Background(), admission.Request{NoWait: true}); err == nil {
			admitted++
			slot.Release(false)
		}
	}
	return admitted
}

// contains reports whether a line contains all parts.
func contains(line string, parts ...string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) })
}
