package origin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// keyDigest is the digest of the API key of the tests' calls.
var keyDigest = account.DigestOf([]byte("a key"))

// newAccounts returns accounts, each with one key, by name.
func newAccounts(keys map[string]account.Digest) *lapisv1.Accounts {
	accounts := &lapisv1.Accounts{}
	for name, key := range keys {
		accounts.Accounts = append(accounts.Accounts, &lapisv1.Account{Name: name, KeyDigests: [][]byte{key[:]}})
	}
	return accounts
}

// newSnapshot returns a snapshot with the given accounts.
func newSnapshot(t *testing.T, revision uint64, accounts *lapisv1.Accounts) *snapshot.Snapshot {
	t.Helper()
	configuration, err := meshconfig.Compose(meshconfig.Composition{
		Revision: revision, Accounts: accounts,
		Pools: []*lapisv1.Pool{{Name: "desk", Group: meshconfig.DefaultGroup, Slots: 2, ConnectionLimit: 10}},
	}, nil)
	assert.NilError(t, err)
	store := &snapshot.Store{}
	assert.NilError(t, store.ReplaceConfiguration(configuration))
	return store.Current()
}

// A key counts as revoked once a newer configuration than the one that admitted the call lacks it.
// An older one proves nothing, because the key may be newer.
func TestRevokedKeysAreRefusedBesideTheInstance(t *testing.T) {
	const admittedUnder = 5
	with, without := newAccounts(map[string]account.Digest{"alpha": keyDigest}), newAccounts(nil)
	moved := newAccounts(map[string]account.Digest{"beta": keyDigest})
	for name, row := range map[string]struct {
		digest  []byte
		current *snapshot.Snapshot
		code    result.Code
	}{
		"in force":             {keyDigest[:], newSnapshot(t, 6, with), result.OK},
		"revoked":              {keyDigest[:], newSnapshot(t, 6, without), result.CallUnknownKey},
		"moved":                {keyDigest[:], newSnapshot(t, 6, moved), result.OK},
		"the same version":     {keyDigest[:], newSnapshot(t, admittedUnder, without), result.OK},
		"not known here yet":   {keyDigest[:], newSnapshot(t, 4, without), result.OK},
		"accounts removed":     {keyDigest[:], newSnapshot(t, 6, nil), result.OK},
		"no configuration yet": {keyDigest[:], nil, result.OK},
		"no key was needed":    {nil, newSnapshot(t, 6, without), result.OK},
		"malformed digest":     {keyDigest[:3], newSnapshot(t, 6, with), result.CallUnknownKey},
	} {
		t.Run(name, func(t *testing.T) {
			err := checkKey(&lapisv1.CallOpen{KeyDigest: row.digest, RouteRevision: admittedUnder}, row.current)
			code, _ := result.CodeOf(err)
			assert.Equal(t, code, row.code, "%v", err)
		})
	}
}

// A call whose key is revoked while it waits for a slot does not start, and its error proves that
// it did not run; a call whose key stays valid starts.
func TestRevocationWhileACallWaits(t *testing.T) {
	for name, row := range map[string]struct {
		accounts *lapisv1.Accounts
		code     result.Code
	}{
		"revoked": {newAccounts(nil), result.CallUnknownKey},
		// The call is sent, and fails because no back end listens.
		"kept": {newAccounts(map[string]account.Digest{"alpha": keyDigest}), result.CallNotRunUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := newRunningOrigin(t)
				o.Configure(newSnapshot(t, 1, newAccounts(map[string]account.Digest{"alpha": keyDigest})))
				slots := fillSlots(t, requireInstance(t, o, "desk-1"))
				ended := make(chan error, 1)
				go func() {
					open := &lapisv1.CallOpen{
						Service: "desk", Instance: "desk-1", AttemptId: "waits", Target: "/", Method: "GET", DeadlineMillis: 10_000,
						Account: "alpha", KeyDigest: keyDigest[:], RouteRevision: 1,
					}
					_, err := o.Handle(context.Background(), &callapi.Call{Open: open})
					ended <- err
				}()
				synctest.Wait()
				o.Configure(newSnapshot(t, 2, row.accounts))
				time.Sleep(time.Second)
				for _, slot := range slots {
					slot.Release(false)
				}
				err := <-ended
				assertCode(t, err, row.code)
				assert.Equal(t, callapi.OutcomeOf(err), callapi.OutcomeNotRun)
				synctest.Wait()
				assert.Equal(t, o.InFlight(), 0)
			})
		})
	}
}

// The instance receives the account that lapisvane states, whatever the header fields of the call
// contain, and no account for a call without one.
func TestInstancesGetTheAccount(t *testing.T) {
	envelope := &callapi.Envelope{Deadline: "Deadline-Ms", Account: "Mesh-Account"}
	for _, name := range []string{"alpha", ""} {
		open := &lapisv1.CallOpen{
			Method: "GET", Target: "/", Account: name, KeyDigest: keyDigest[:],
			Headers: []*lapisv1.HeaderField{{Name: "mesh-account", Value: "smuggled"}, {Name: "Other", Value: "kept"}},
		}
		request, _, err := newBackend(unreachableAddress, "desk-1", envelope, 1).request(t.Context(), &callapi.Call{Open: open})
		assert.NilError(t, err)
		assert.Equal(t, request.Header.Get("Mesh-Account"), name)
		assert.Assert(t, len(request.Header.Values("Mesh-Account")) <= 1)
		assert.Equal(t, request.Header.Get("Other"), "kept")
	}
}
