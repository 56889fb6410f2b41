// Package account tells which account a caller belongs to by the API key that it presents.
//
// A Directory is built from a configuration version and is immutable, so that it is safe for
// concurrent use. It holds digests of the keys and no key: what a daemon keeps, compares and shows
// does not let anyone make calls.
//
// What must hold: a key that the version does not hold belongs to nobody, and an account's name is
// that of a group of callers (package admission shares slots between groups).
package account

import (
	"crypto/sha256"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// DigestBytes is the length of a key's digest: long enough that no two keys have the same.
const DigestBytes = 16

// Digest stands for an API key: the first bytes of its SHA-256.
type Digest [DigestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest {
	sum := sha256.Sum256(key)
	return Digest(sum[:DigestBytes])
}

// Account is what holds for the callers who present one of its keys.
type Account struct {
	Name string
	// Priority goes before the priority of the route; 0 is the most urgent.
	Priority uint32
	// Rate bounds the calls a second at all daemons together, 0 for no bound; Burst is how many
	// may come at once above that.
	Rate  float64
	Burst uint32
	// Keys is the number of its keys.
	Keys int
}

// Limited reports whether the account's calls are bounded.
func (a *Account) Limited() bool { return a != nil && a.Rate > 0 }

// Directory holds the accounts of a configuration version. A nil Directory stands for one without
// accounts: every caller is served.
type Directory struct {
	accounts map[string]*Account
	byKey    map[Digest]*Account
}

// NewDirectory returns the directory of a configuration's accounts, nil where it has none.
func NewDirectory(message *lapisv1.Accounts) *Directory {
	if message == nil {
		return nil
	}
	directory := &Directory{accounts: map[string]*Account{}, byKey: make(map[Digest]*Account, countKeys(message))}
	for _, stated := range message.GetAccounts() {
		known := &Account{
			Name: stated.GetName(), Priority: stated.GetPriority(), Rate: stated.GetCallsPerSecond(),
			Burst: stated.GetBurst(), Keys: len(stated.GetKeyDigests()),
		}
		directory.accounts[known.Name] = known
		for _, digest := range stated.GetKeyDigests() {
			if len(digest) == DigestBytes {
				directory.byKey[Digest(digest)] = known
			}
		}
	}
	return directory
}

func countKeys(message *lapisv1.Accounts) (keys int) {
	for _, stated := range message.GetAccounts() {
		keys += len(stated.GetKeyDigests())
	}
	return keys
}

// Find returns the account that the key of a digest belongs to, nil for none.
func (d *Directory) Find(key Digest) *Account {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// Holds reports whether the key of a digest lets its callers make calls: it belongs to an account, or
// there are none. A digest of another length is that of no key.
func (d *Directory) Holds(key []byte) bool {
	if d == nil {
		return true
	}
	return len(key) == DigestBytes && d.byKey[Digest(key)] != nil
}

// Named returns the account of a name, nil for none.
func (d *Directory) Named(name string) *Account {
	if d == nil {
		return nil
	}
	return d.accounts[name]
}

// Keys returns the number of keys of all accounts.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.byKey)
}

// Accounts returns all accounts by name. The map is not changed.
func (d *Directory) Accounts() map[string]*Account {
	if d == nil {
		return nil
	}
	return d.accounts
}
