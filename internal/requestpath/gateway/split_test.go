package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// A pool of a split route without instances refuses its share of the calls; the other pool does not get
// them.
func TestCallsKeepToTheirPartOfASplit(t *testing.T) {
	route := &lapisv1.Route{
		Name: "r", Group: meshconfig.DefaultGroup, Pool: "desk", Host: "h", PathPrefix: "/",
		CallClass: &lapisv1.CallClass{Repeatable: true, MaxAttempts: 3, TargetLatencyMillis: 200},
		Split:     []*lapisv1.WeightedPool{{Pool: "desk", Weight: 3}, {Pool: "yard", Weight: 1}},
	}
	var pools []*lapisv1.Pool
	for _, name := range []string{"desk", "yard"} {
		pools = append(pools, &lapisv1.Pool{Name: name, Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10})
	}
	configuration, err := meshconfig.Compose(meshconfig.Composition{Revision: 1, Pools: pools, Routes: []*lapisv1.Route{route}}, nil)
	assert.NilError(t, err)
	snapshots := &snapshot.Store{}
	assert.NilError(t, snapshots.ReplaceConfiguration(configuration))

	served, refused := 0, 0
	for range 1000 {
		// Only the pool desk has instances.
		attempt := newAttempter(t, &scriptedRemote{script: []any{200}}, true, retry.Limits{})
		attempt.route, attempt.current = route, snapshots.Current()
		_, err := attempt.run(context.Background())
		if result.Is(err, result.CallNoEndpoint) {
			refused++
			continue
		}
		assert.NilError(t, err)
		served++
	}
	assert.Assert(t, served > 690 && served < 810, "%d of 1000 served", served)
	assert.Equal(t, refused, 1000-served)
}
