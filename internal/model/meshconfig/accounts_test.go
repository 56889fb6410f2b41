package meshconfig_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func accountWithKeys(name string, keys ...string) *lapisv1.Account {
	made := &lapisv1.Account{Name: name}
	for _, key := range keys {
		digest := account.DigestOf([]byte(key))
		made.KeyDigests = append(made.KeyDigests, digest[:])
	}
	return made
}

// Invalid accounts are refused with their result code and index; messages contain no keys.
func TestInvalidAccountsAreRefusedWithTheirCode(t *testing.T) {
	short := accountWithKeys("short", "key")
	short.KeyDigests[0] = short.KeyDigests[0][:5]
	limited := func(rate float64) *lapisv1.Account { return &lapisv1.Account{Name: "limited", CallsPerSecond: rate} }
	for name, row := range map[string]struct {
		bad  []*lapisv1.Account
		code result.Code
		path string
	}{
		"a key in two accounts":    {[]*lapisv1.Account{accountWithKeys("alpha", "k1", "k2"), accountWithKeys("beta", "k3", "k2")}, result.ConfigDuplicateObject, "accounts[2].key_digests[1]"},
		"one name twice":           {[]*lapisv1.Account{accountWithKeys("alpha", "k1"), accountWithKeys("alpha", "k2")}, result.ConfigDuplicateObject, "accounts[2].name"},
		"no name":                  {[]*lapisv1.Account{accountWithKeys("", "k1")}, result.ConfigBadName, "accounts[1].name"},
		"spaces for a name":        {[]*lapisv1.Account{accountWithKeys("  ", "k1")}, result.ConfigBadName, "accounts[1].name"},
		"a name of two lines":      {[]*lapisv1.Account{accountWithKeys("a\r\nb", "k1")}, result.ConfigBadName, "accounts[1].name"},
		"a name that is too long":  {[]*lapisv1.Account{accountWithKeys(strings.Repeat("a", 64), "k1")}, result.ConfigBadName, "accounts[1].name"},
		"a limit below 0":          {[]*lapisv1.Account{limited(-1)}, result.ConfigBadLimit, "accounts[1].calls_per_second"},
		"a limit that is none":     {[]*lapisv1.Account{limited(math.NaN())}, result.ConfigBadLimit, "accounts[1].calls_per_second"},
		"a limit without an end":   {[]*lapisv1.Account{limited(math.Inf(1))}, result.ConfigBadLimit, "accounts[1].calls_per_second"},
		"a digest that is cut off": {[]*lapisv1.Account{short}, result.ConfigBadLimit, "accounts[1].key_digests[0]"},
	} {
		t.Run(name, func(t *testing.T) {
			composition := meshconfig.Composition{Revision: 3, Accounts: &lapisv1.Accounts{Accounts: append([]*lapisv1.Account{accountWithKeys("good", "k0")}, row.bad...)}}
			configuration, err := meshconfig.Compose(composition, nil)
			assert.Assert(t, configuration == nil, "a refused composition must give no configuration")
			assert.Assert(t, result.Is(err, row.code), "%v", err)
			assert.Assert(t, strings.Contains(err.Error(), row.path), "%v", err)
		})
	}
}

// Names that a platform may assign, a key listed twice by one account, and accounts without keys or
// limits are valid.
func TestGoodAccountsAreComposed(t *testing.T) {
	accounts := &lapisv1.Accounts{Accounts: []*lapisv1.Account{
		accountWithKeys("hule930", "k1", "k1"), accountWithKeys("Two Words_9"), {Name: "limited", CallsPerSecond: 0.5, Burst: 7},
	}}
	configuration, err := meshconfig.Compose(meshconfig.Composition{Revision: 3, Accounts: accounts}, nil)
	assert.NilError(t, err)
	assert.Assert(t, configuration.GetAccounts() == accounts)
}

// Only the digest of a proposed key is kept, for both forms of keys in a proposal file.
func TestProposedKeysAreNotKept(t *testing.T) {
	sum := sha256.Sum256([]byte("a proposed key"))
	for _, file := range []string{
		"accounts: [{name: a, api_keys: [a proposed key]}]",
		"accounts: [{name: a, key_digests: [" + hex.EncodeToString(sum[:]) + "]}]",
	} {
		revision, state, err := acceptFile(t, meshconfig.NewState(), "op", file)
		assert.NilError(t, err)
		assert.DeepEqual(t, state.Accounts["a"].GetKeyDigests(), [][]byte{sum[:account.DigestBytes]})
		content, err := proto.Marshal(revision)
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Contains(content, []byte("a proposed key")))
	}
}

// The accounts are distributed in a separate bundle, which contains nothing else; no other bundle
// contains accounts.
func TestBundlesOfAccountsAreClosed(t *testing.T) {
	accounts := &lapisv1.Accounts{Accounts: []*lapisv1.Account{accountWithKeys("alpha", "k1")}}
	pool := &lapisv1.Pool{Name: "desk"}
	for name, row := range map[string]struct {
		service string
		bundle  *lapisv1.Bundle
		closed  bool
	}{
		"accounts alone":         {meshconfig.AccountsService, &lapisv1.Bundle{Accounts: accounts}, true},
		"none of them":           {meshconfig.AccountsService, &lapisv1.Bundle{Accounts: &lapisv1.Accounts{}}, true},
		"no accounts":            {meshconfig.AccountsService, &lapisv1.Bundle{}, false},
		"a pool beside them":     {meshconfig.AccountsService, &lapisv1.Bundle{Accounts: accounts, Pool: pool}, false},
		"a route beside them":    {meshconfig.AccountsService, &lapisv1.Bundle{Accounts: accounts, Routes: []*lapisv1.Route{{Name: "r"}}}, false},
		"accounts beside a pool": {"desk", &lapisv1.Bundle{Accounts: accounts, Pool: pool}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, meshconfig.CheckClosed(row.service, row.bundle) == nil, row.closed)
		})
	}
}
