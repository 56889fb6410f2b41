package allowance

import (
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// view is the list of owners as one daemon sees it. It is immutable.
type view struct {
	owners []string
	// key is equal for equal views.
	key string
}

func newView(owners []string) view {
	sorted := slices.Clone(owners)
	slices.Sort(sorted)
	return view{owners: sorted, key: strings.Join(sorted, "\n")}
}

// ownerOf returns the owner of an allowance, empty if the view has no owners.
func (v view) ownerOf(allowance string) string {
	owner, highest := "", uint64(0)
	for _, node := range v.owners {
		if score := rendezvous.Score(allowance, node); owner == "" || score > highest {
			owner, highest = node, score
		}
	}
	return owner
}
