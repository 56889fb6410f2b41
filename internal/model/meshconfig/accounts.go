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

// sortedAccounts returns the accounts in order of their names.
func (s *State) sortedAccounts() []*lapisv1.Account {
	sorted := make([]*lapisv1.Account, 0, len(s.Accounts))
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		sorted = append(sorted, s.Accounts[name])
	}
	return sorted
}

// validateAccounts checks accounts by themselves and against each other. Faults name an account by
// its place too, since its name may be at fault, and a key by its place only.
func validateAccounts(faults *result.List, accounts []*lapisv1.Account) {
	names := map[string]int{}
	holders := map[account.Digest]int{}
	for index, stated := range accounts {
		validateAccount(faults, index, stated)
		if other, taken := names[stated.GetName()]; taken {
			faults.Add(result.ConfigDuplicateObject, "accounts[%d].name %q is that of accounts[%d]", index, stated.GetName(), other)
		}
		names[stated.GetName()] = index
		validateKeys(faults, index, stated, holders)
	}
}

func validateAccount(faults *result.List, index int, stated *lapisv1.Account) {
	if !usableAccountName(stated.GetName()) {
		faults.Add(result.ConfigBadName, "accounts[%d].name %q", index, stated.GetName())
	}
	if rate := stated.GetCallsPerSecond(); rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		faults.Add(result.ConfigBadLimit, "accounts[%d].calls_per_second %v of account %q", index, rate, stated.GetName())
	}
}

// usableAccountName reports whether a name can be stated in a header field: printable ASCII, with no
// space at either end.
func usableAccountName(name string) bool {
	unprintable := func(char rune) bool { return char < ' ' || char > '~' }
	return name != "" && len(name) <= maxNameLength && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unprintable)
}

// validateKeys checks the keys of an account; holders are the accounts, by place, whose keys were
// seen before.
func validateKeys(faults *result.List, index int, stated *lapisv1.Account, holders map[account.Digest]int) {
	for place, content := range stated.GetKeyDigests() {
		if len(content) != account.DigestBytes {
			faults.Add(result.ConfigBadLimit, "accounts[%d].key_digests[%d] of account %q has %d bytes", index, place, stated.GetName(), len(content))
			continue
		}
		digest := account.Digest(content)
		if other, taken := holders[digest]; taken && other != index {
			faults.Add(result.ConfigDuplicateObject, "accounts[%d].key_digests[%d] of account %q is a key of accounts[%d] too", index, place, stated.GetName(), other)
		}
		holders[digest] = index
	}
}
