package meshconfig

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// sortedAccounts returns the accounts sorted by name.
func (s *State) sortedAccounts() []*lapisv1.Account {
	sorted := make([]*lapisv1.Account, 0, len(s.Accounts))
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		sorted = append(sorted, s.Accounts[name])
	}
	return sorted
}

// validateAccounts checks the accounts individually and against each other. Faults identify an account
// by its index in addition to its name, which may be invalid, and a key only by its index, because a
// message must not contain keys.
func validateAccounts(faults *result.List, accounts []*lapisv1.Account) {
	names := map[string]int{}
	accountByKey := map[account.Digest]int{}
	for index, checked := range accounts {
		validateAccount(faults, index, checked)
		if other, exists := names[checked.GetName()]; exists {
			faults.Add(result.ConfigDuplicateObject, "accounts[%d].name %q is that of accounts[%d]", index, checked.GetName(), other)
		}
		names[checked.GetName()] = index
		validateKeys(faults, index, checked, accountByKey)
	}
}

func validateAccount(faults *result.List, index int, checked *lapisv1.Account) {
	if !isValidAccountName(checked.GetName()) {
		faults.Add(result.ConfigBadName, "accounts[%d].name %q", index, checked.GetName())
	}
	if rate := checked.GetCallsPerSecond(); rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		faults.Add(result.ConfigBadLimit, "accounts[%d].calls_per_second %v of account %q", index, rate, checked.GetName())
	}
}

// isValidAccountName reports whether a name can be sent in a header field: printable ASCII without
// leading or trailing space, of at most maxNameLength bytes.
func isValidAccountName(name string) bool {
	unprintable := func(char rune) bool { return char < ' ' || char > '~' }
	return name != "" && len(name) <= maxNameLength && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unprintable)
}

// validateKeys checks the keys of the account with the given index. accountByKey maps the digest of
// each key checked so far to the index of its account.
func validateKeys(faults *result.List, index int, checked *lapisv1.Account, accountByKey map[account.Digest]int) {
	for keyIndex, content := range checked.GetKeyDigests() {
		if len(content) != account.DigestBytes {
			faults.Add(result.ConfigBadLimit, "accounts[%d].key_digests[%d] of account %q has %d bytes", index, keyIndex, checked.GetName(), len(content))
			continue
		}
		digest := account.Digest(content)
		if other, exists := accountByKey[digest]; exists && other != index {
			faults.Add(result.ConfigDuplicateObject, "accounts[%d].key_digests[%d] of account %q is a key of accounts[%d] too", index, keyIndex, checked.GetName(), other)
		}
		accountByKey[digest] = index
	}
}
