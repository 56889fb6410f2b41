package allowance

import (
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// view is the list of owners as one daemon sees it. It is immutable.
type view struct {
	owners []string
	// previous holds the owners that the daemon saw before, while they may still count its vote; empty
	// otherwise. An allowance then has an owner only if both lists name the same one.
	previous []string
	// key is equal for equal views.
	key string
}

func newView(owners []string) view {
	sorted := slices.Clone(owners)
	slices.Sort(sorted)
	return view{owners: sorted, key: strings.Join(sorted, "\n")}
}

// newTransition returns the view of a daemon that changes from the previous owners to others.
func newTransition(previous, owners []string) view {
	transition := newView(owners)
	if len(previous) > 0 {
		before := newView(previous)
		transition.previous = before.owners
		transition.key += "\n\n" + before.key
	}
	return transition
}

// ownerOf returns the owner of an allowance, empty if the view has no owners or the owner changes.
func (v view) ownerOf(allowance string) string {
	owner := highestScored(v.owners, allowance)
	if len(v.previous) > 0 && highestScored(v.previous, allowance) != owner {
		return ""
	}
	return owner
}

// highestScored returns the owner of an allowance among owners, empty if there are none.
func highestScored(owners []string, allowance string) string {
	owner, highest := "", uint64(0)
	for _, node := range owners {
		if score := rendezvous.Score(allowance, node); owner == "" || score > highest {
			owner, highest = node, score
		}
	}
	return owner
}
