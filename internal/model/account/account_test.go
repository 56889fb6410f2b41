package account_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
)

// newAccount returns an account with the given keys in the form of the configuration.
func newAccount(name string, keys ...string) *lapisv1.Account {
	made := &lapisv1.Account{Name: name}
	for _, key := range keys {
		digest := account.DigestOf([]byte(key))
		made.KeyDigests = append(made.KeyDigests, digest[:])
	}
	return made
}

func find(directory *account.Directory, key string) string {
	found := directory.Find(account.DigestOf([]byte(key)))
	if found == nil {
		return ""
	}
	return found.Name
}

// A key must match its account only in its exact form.
func TestKeysBelongToTheirAccount(t *testing.T) {
	directory := account.NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{
		newAccount("alpha", "key-of-alpha", "other-key"), newAccount("beta", "key-of-beta"), newAccount("none"),
	}})
	for key, name := range map[string]string{
		"key-of-alpha": "alpha", "other-key": "alpha", "key-of-beta": "beta",
		"": "", "unknown": "", "KEY-OF-ALPHA": "", " key-of-alpha": "", "key-of-alpha ": "", "key-of-alph": "", "key-of-alpha\x00": "",
	} {
		assert.Equal(t, find(directory, key), name, "%q", key)
	}
	assert.Equal(t, directory.ByName("alpha").Keys, 2)
	assert.Equal(t, directory.Keys(), 3)
	assert.Equal(t, len(directory.Accounts()), 3)
	assert.Assert(t, directory.ByName("gamma") == nil)
}

// Without the accounts message, callers need no key; with an empty one, every caller needs a key and
// no key matches.
func TestNoAccountsAreNotNoneOfThem(t *testing.T) {
	var without *account.Directory
	digest := account.DigestOf([]byte("any"))
	assert.Assert(t, account.NewDirectory(nil) == without)
	assert.Assert(t, without.Find(digest) == nil && without.Authorizes(digest[:]) && without.ByName("alpha") == nil && without.Accounts() == nil && without.Keys() == 0)
	empty := account.NewDirectory(&lapisv1.Accounts{})
	assert.Assert(t, empty != nil && empty.Find(digest) == nil && !empty.Authorizes(digest[:]))
}

// A truncated or empty digest must match no key, in a configuration or in a call.
func TestDigestsOfAnotherLengthMatchNothing(t *testing.T) {
	digest := account.DigestOf([]byte("key"))
	short := &lapisv1.Account{Name: "alpha", KeyDigests: [][]byte{digest[:4], nil, append(digest[:], 0)}}
	directory := account.NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{short}})
	for _, presented := range [][]byte{digest[:], digest[:4], nil, {}} {
		assert.Assert(t, !directory.Authorizes(presented))
	}
	assert.Assert(t, account.NewDirectory(&lapisv1.Accounts{Accounts: []*lapisv1.Account{newAccount("alpha", "key")}}).Authorizes(digest[:]))
}

func TestOnlyAccountsWithARateAreLimited(t *testing.T) {
	var none *account.Account
	assert.Assert(t, !none.Limited() && !(&account.Account{Burst: 5}).Limited() && (&account.Account{Rate: 0.5}).Limited())
}

const manyKeys = 10_000

// manyAccounts returns accounts with manyKeys keys in total.
func manyAccounts() *lapisv1.Accounts {
	accounts := &lapisv1.Accounts{}
	for number := range 100 {
		var keys []string
		for key := range manyKeys / 100 {
			keys = append(keys, fmt.Sprintf("key-%d-%d", number, key))
		}
		accounts.Accounts = append(accounts.Accounts, newAccount(fmt.Sprint("account-", number), keys...))
	}
	return accounts
}

func BenchmarkFindAmongManyKeys(b *testing.B) {
	directory := account.NewDirectory(manyAccounts())
	key := []byte("key-50-50")
	b.ReportAllocs()
	for b.Loop() {
		if directory.Find(account.DigestOf(key)) == nil {
			b.Fatal("not found")
		}
	}
}

func BenchmarkFindUnknownAmongManyKeys(b *testing.B) {
	directory := account.NewDirectory(manyAccounts())
	key := []byte("key-50-unknown")
	b.ReportAllocs()
	for b.Loop() {
		if directory.Find(account.DigestOf(key)) != nil {
			b.Fatal("found")
		}
	}
}

// The memory of a directory per key is the number of allocated bytes divided by manyKeys.
func BenchmarkDirectoryOfManyKeys(b *testing.B) {
	accounts := manyAccounts()
	b.ReportAllocs()
	for b.Loop() {
		account.NewDirectory(accounts)
	}
}
