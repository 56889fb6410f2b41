package account

import (
	"math"
	"slices"
)

// Weights returns the weight of each account in fair sharing: its rate limit in calls per second,
// so that a large account is not limited to the share of a small one. An account without a limit
// gets the highest weight, because it may request any amount. The result is nil if no account has a
// limit; all accounts then have the same weight.
func (d *Directory) Weights() map[string]uint32 {
	highest := uint32(0)
	for _, known := range d.Accounts() {
		highest = max(highest, known.weight())
	}
	if highest == 0 {
		return nil
	}
	weights := make(map[string]uint32, len(d.accounts))
	for name, known := range d.accounts {
		weights[name] = highest
		if known.Limited() {
			weights[name] = known.weight()
		}
	}
	return weights
}

// weight returns the account's rate limit, rounded up, or 0 if it has none.
func (a *Account) weight() uint32 {
	return uint32(min(math.Ceil(max(a.Rate, 0)), math.MaxUint32))
}

// MedianPriority returns the priority of calls without an account relative to those with one, such
// as calls of instances and of public routes: the median of the accounts' priorities.
func (d *Directory) MedianPriority() uint32 {
	var priorities []uint32
	for _, known := range d.Accounts() {
		priorities = append(priorities, known.Priority)
	}
	if len(priorities) == 0 {
		return 0
	}
	slices.Sort(priorities)
	return priorities[len(priorities)/2]
}
