package allowance

import (
	"slices"
	"strings"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// view is the owners as one daemon sees them. It is immutable.
type view struct {
	owners []string
	// key is the same for equal views.
	key string
}

func newView(owners []string) view {
	sorted := slices.Clone(owners)
	slices.Sort(sorted)
	return view{owners: sorted, key: strings.Join(sorted, "\n")}
}

// ownerOf returns the owner of an allowance, empty where the view has none.
func (v view) ownerOf(allowance string) string {
	owner, most := "", uint64(0)
	for _, node := range v.owners {
		if score := rendezvous.Score(allowance, node); owner == "" || score > most {
			owner, most = node, score
		}
	}
	return owner
}
