package account

import (
	"math"
	"slices"
)

// Weights returns the weight of each account for a fair share of what all of them use: its rate
// limit in calls a second, so that a large account is not held to the share of a small one. An account
// without a limit may ask for any amount, and weighs as much as the one with the highest. It is nil
// where no account has a limit: all weigh the same.
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

// weight is the account's rate limit, rounded up; 0 without one.
func (a *Account) weight() uint32 {
	return uint32(min(math.Ceil(max(a.Rate, 0)), math.MaxUint32))
}

// UsualPriority returns the priority that holds for calls without an account beside those with one,
// such as calls of instances and of public routes: the median of the accounts' priorities.
func (d *Directory) UsualPriority() uint32 {
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
