package snapshot_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func newConfiguration(t *testing.T, revision uint64) *lapisv1.Configuration {
	t.Helper()
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: revision,
		Pools:    []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 6, ConnectionLimit: 10}},
	}, nil)
	assert.NilError(t, err)
	return configuration
}

// A call made before the first configuration waits for it, at most until its timeout; later calls do
// not wait.
func TestAwaitEndsWithTheFirstSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &snapshot.Store{}
		began := time.Now()
		assert.Assert(t, store.WaitForFirst(context.Background(), time.Second) == nil)
		assert.Equal(t, time.Since(began), time.Second)

		ended, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Assert(t, store.WaitForFirst(ended, time.Minute) == nil, "the caller disconnected")

		time.AfterFunc(300*time.Millisecond, func() { assert.NilError(t, store.ReplaceConfiguration(newConfiguration(t, 3))) })
		began = time.Now()
		assert.Equal(t, store.WaitForFirst(context.Background(), time.Second).Revision, uint64(3))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)

		assert.NilError(t, store.ReplaceConfiguration(newConfiguration(t, 5)))
		began = time.Now()
		assert.Equal(t, store.WaitForFirst(context.Background(), time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// A call that waits for a newer snapshot gets the next one, and does not miss one that was put in force
// before the wait.
func TestAwaitAfterEndsWithTheNextSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &snapshot.Store{}
		assert.NilError(t, store.ReplaceConfiguration(newConfiguration(t, 3)))
		seen := store.Current()
		began := time.Now()
		assert.Assert(t, store.WaitForNewer(context.Background(), seen, time.Second) == seen)
		assert.Equal(t, time.Since(began), time.Second)

		time.AfterFunc(300*time.Millisecond, func() { assert.NilError(t, store.ReplaceConfiguration(newConfiguration(t, 5))) })
		began = time.Now()
		assert.Equal(t, store.WaitForNewer(context.Background(), seen, time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), 300*time.Millisecond)

		began = time.Now()
		assert.Equal(t, store.WaitForNewer(context.Background(), seen, time.Second).Revision, uint64(5))
		assert.Equal(t, time.Since(began), time.Duration(0), "the newer snapshot was already in force")
	})
}

// A revision that is not above the one in force, or that cannot be decoded, is refused, and the
// snapshot in force stays.
func TestRefusedConfigurationLeavesTheSnapshot(t *testing.T) {
	tampered := newConfiguration(t, 9)
	tampered.Bundles[0].Content = append(tampered.Bundles[0].Content, 0)
	for name, row := range map[string]struct {
		offered *lapisv1.Configuration
		code    result.Code
	}{
		"older":    {newConfiguration(t, 4), result.DistributionBelowFloor},
		"the same": {newConfiguration(t, 5), result.DistributionBelowFloor},
		"tampered": {tampered, result.DistributionDigestMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			store := &snapshot.Store{}
			assert.NilError(t, store.ReplaceConfiguration(newConfiguration(t, 5)))
			inForce := store.Current()
			err := store.ReplaceConfiguration(row.offered)
			assert.Assert(t, result.Is(err, row.code), "%v", err)
			assert.Assert(t, store.Current() == inForce)
		})
	}
}

// accountsBundle returns a bundle that contains one account with one key.
func accountsBundle(t *testing.T, key string) *lapisv1.EncodedBundle {
	t.Helper()
	digest := account.DigestOf([]byte(key))
	alpha := &lapisv1.Account{Name: "alpha", KeyDigests: [][]byte{digest[:]}}
	encoded, err := meshconfig.EncodeBundle(&lapisv1.Bundle{Accounts: &lapisv1.Accounts{Accounts: []*lapisv1.Account{alpha}}}, 1)
	assert.NilError(t, err)
	return encoded
}

// Accounts from a bundle are put in force with their revision, are not listed as a service, are reused
// while the bundle is unchanged, and are not replaced by an older revision.
func TestAccountsOfABundle(t *testing.T) {
	store := &snapshot.Store{}
	pool := newConfiguration(t, 1).GetBundles()[0]
	old, renewed := accountsBundle(t, "old"), accountsBundle(t, "renewed")
	replace := func(revision uint64, accounts *lapisv1.EncodedBundle) error {
		bundles := map[string]*lapisv1.EncodedBundle{"desk": pool}
		if accounts != nil {
			bundles[meshconfig.AccountsService] = accounts
		}
		return store.Replace(revision, 0, bundles)
	}
	holds := func(key string) bool { return store.Current().Accounts.Find(account.DigestOf([]byte(key))) != nil }
	assert.NilError(t, replace(1, old))
	assert.Assert(t, holds("old") && !holds("renewed"))
	assert.DeepEqual(t, store.Current().ServiceNames(), []string{"desk"})
	before := store.Current().Accounts
	assert.NilError(t, replace(2, old))
	assert.Assert(t, store.Current().Accounts == before)
	assert.NilError(t, replace(3, renewed))
	assert.Assert(t, !holds("old") && holds("renewed"))
	assert.Assert(t, result.Is(replace(2, old), result.DistributionBelowFloor))
	assert.Assert(t, !holds("old") && holds("renewed"))
	tampered := accountsBundle(t, "old")
	tampered.Content[len(tampered.Content)-1] ^= 1
	assert.Assert(t, result.Is(replace(4, tampered), result.DistributionDigestMismatch))
	assert.Assert(t, holds("renewed"))
	assert.NilError(t, replace(5, nil))
	assert.Assert(t, store.Current().Accounts == nil)
}
