package snapshot_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func configurationOf(t *testing.T, revision uint64) *lapisv1.Configuration {
	t.Helper()
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: revision,
		Pools:    []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
	}, nil)
	assert.NilError(t, err)
	return configuration
}

// A call that comes before the first configuration waits for it, and no longer than it
// may; later ones do not wait.
func TestAwaitEndsWithTheFirstSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &snapshot.Store{}
		began := time.Now()
		assert.Assert(t, store.Await(context.Background(), time.Second) == nil)
		assert.Equal(t, time.Since(began), time.Second)

		ended, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Assert(t, store.Await(ended, time.Minute) == nil, "the caller disconnected")

		time.AfterFunc(300*time.Millisecond, func() { assert.NilError(t, store.ReplaceConfiguration(configurationOf(t, 3))) })
		began = time.Now()
		assert.Equal(t, store.Await(context.Background(), time.Second).Revision, uint64(3))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)

		assert.NilError(t, store.ReplaceConfiguration(configurationOf(t, 5)))
		began = time.Now()
		assert.Equal(t, store.Await(context.Background(), time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// A call that waits for a newer version gets the next one, and does not miss one that came in force
// before it waits.
func TestAwaitAfterEndsWithTheNextSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &snapshot.Store{}
		assert.NilError(t, store.ReplaceConfiguration(configurationOf(t, 3)))
		seen := store.Current()
		began := time.Now()
		assert.Assert(t, store.AwaitAfter(context.Background(), seen, time.Second) == seen)
		assert.Equal(t, time.Since(began), time.Second)

		time.AfterFunc(300*time.Millisecond, func() { assert.NilError(t, store.ReplaceConfiguration(configurationOf(t, 5))) })
		began = time.Now()
		assert.Equal(t, store.AwaitAfter(context.Background(), seen, time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)

		began = time.Now()
		assert.Equal(t, store.AwaitAfter(context.Background(), seen, time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), time.Duration(0), "it came before")
	})
}

// A revision that is not above the one in force, or that cannot be decoded, is refused, and the
// snapshot in force stays.
func TestRefusedConfigurationLeavesTheSnapshot(t *testing.T) {
	tampered := configurationOf(t, 9)
	tampered.Bundles[0].Content = append(tampered.Bundles[0].Content, 0)
	for name, row := range map[string]struct {
		offered *lapisv1.Configuration
		code    result.Code
	}{
		"older":    {configurationOf(t, 4), result.DistributionBelowFloor},
		"the same": {configurationOf(t, 5), result.DistributionBelowFloor},
		"tampered": {tampered, result.DistributionDigestMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			store := &snapshot.Store{}
			assert.NilError(t, store.ReplaceConfiguration(configurationOf(t, 5)))
			inForce := store.Current()
			err := store.ReplaceConfiguration(row.offered)
			assert.Assert(t, result.Is(err, row.code), "%v", err)
			assert.Assert(t, store.Current() == inForce)
		})
	}
}
