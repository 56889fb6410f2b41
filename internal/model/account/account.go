// Package account identifies the account of a caller by the API key that it presents.
//
// A Directory is built from one version of the configuration and is immutable, so that it is safe
// for concurrent use. It holds digests of the keys and never the keys, so that the data that a
// daemon keeps, compares and shows cannot be used to make calls.
//
// Invariants: a key that is not in this version belongs to no account; the name of an account is
// the name of a group of callers (package admission shares slots between groups).
package account

import (
	"crypto/sha256"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// DigestBytes is the length of a key's digest: long enough that digests do not collide in practice.
const DigestBytes = 16

// Digest identifies an API key: the first bytes of its SHA-256 hash.
type Digest [DigestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) Digest {
	sum := sha256.Sum256(key)
	return Digest(sum[:DigestBytes])
}

// Account holds the properties of the callers that present one of its keys.
type Account struct {
	Name string
	// Priority takes precedence over the priority of the route; 0 is the most urgent.
	Priority uint32
	// Rate is the limit in calls per second over all daemons, 0 for no limit. Burst is the number
	// of calls above the rate that may arrive at once.
	Rate  float64
	Burst uint32
	// Keys is the number of API keys of the account.
	Keys int
}

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a != nil && a.Rate > 0 }

// Directory holds the accounts of one version of the configuration. A nil Directory represents a
// configuration without accounts, in which callers need no key.
type Directory struct {
	accounts map[string]*Account
	byKey    map[Digest]*Account
}

// NewDirectory returns the directory of a configuration's accounts, or nil if the message is nil.
func NewDirectory(message *lapisv1.Accounts) *Directory {
	if message == nil {
		return nil
	}
	directory := &Directory{accounts: map[string]*Account{}, byKey: make(map[Digest]*Account, countKeys(message))}
	for _, configured := range message.GetAccounts() {
		known := &Account{
			Name: configured.GetName(), Priority: configured.GetPriority(), Rate: configured.GetCallsPerSecond(),
			Burst: configured.GetBurst(), Keys: len(configured.GetKeyDigests()),
		}
		directory.accounts[known.Name] = known
		for _, digest := range configured.GetKeyDigests() {
			if len(digest) == DigestBytes {
				directory.byKey[Digest(digest)] = known
			}
		}
	}
	return directory
}

func countKeys(message *lapisv1.Accounts) (keys int) {
	for _, configured := range message.GetAccounts() {
		keys += len(configured.GetKeyDigests())
	}
	return keys
}

// Find returns the account of a key's digest, or nil if there is none.
func (d *Directory) Find(key Digest) *Account {
	if d == nil {
		return nil
	}
	return d.byKey[key]
}

// Authorizes reports whether callers with the key's digest may make calls: the key belongs to an
// account, or the configuration has no accounts. A digest of a different length matches no key.
func (d *Directory) Authorizes(key []byte) bool {
	if d == nil {
		return true
	}
	return len(key) == DigestBytes && d.byKey[Digest(key)] != nil
}

// ByName returns the account with a name, or nil if there is none.
func (d *Directory) ByName(name string) *Account {
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

// Accounts returns all accounts by name. The map is immutable and must not be modified.
func (d *Directory) Accounts() map[string]*Account {
	if d == nil {
		return nil
	}
	return d.accounts
}
