package membership

import (
	"cmp"
	"slices"
)

// JoinVerdict is the decision on a joining child.
type JoinVerdict int

// Verdicts.
const (
	// Accept takes the child in.
	Accept JoinVerdict = iota
	// Detached refuses because the parent has no way to a reader or is leaving.
	Detached
	// Loop refuses because the child is above the parent.
	Loop
	// TooDeep refuses because the tree would exceed its depth.
	TooDeep
	// ToAReader refuses a child of another zone, which only readers take in.
	ToAReader
	// ReadersFirst refuses a child that should ask the zone's readers first.
	ReadersFirst
	// Full refuses because the parent has enough children.
	Full
)

const (
	// ForeignExtra is the number of children of other zones that a reader takes
	// in beyond its fan-out.
	ForeignExtra = 24
	// patience is the number of refusals after which a child is taken in
	// without having been sent by another daemon: the readers are likely out of
	// its reach.
	patience = 6
)

// Parent is what decides about a daemon that is asked.
type Parent struct {
	Node, Zone string
	Reader     bool
	Stopping   bool
	// Path is the way from the root, the daemon included; empty when there is
	// none.
	Path     []string
	Children int
	// KnowsReaders is true when the daemon can name readers of its zone.
	KnowsReaders     bool
	Fanout, MaxDepth int
}

// Joiner is a daemon that wants to join.
type Joiner struct {
	Node, Zone string
	// Depth is the number of levels below it.
	Depth int
	// Known is true when it is a child already and reconnects.
	Known bool
	// Redirected is true when another daemon named the parent.
	Redirected bool
	// Refusals counts the daemons that did not accept it since its last parent.
	Refusals int
}

// DecideJoin returns the verdict on joiner.
func DecideJoin(parent Parent, joiner Joiner) JoinVerdict {
	local := joiner.Zone == parent.Zone
	switch {
	case parent.Stopping || len(parent.Path) == 0:
		return Detached
	case slices.Contains(parent.Path, joiner.Node):
		return Loop
	case len(parent.Path)+joiner.Depth > parent.MaxDepth:
		return TooDeep
	case !local && !parent.Reader:
		return ToAReader
	case !local && !joiner.Known && parent.Children >= parent.Fanout+ForeignExtra:
		return ToAReader
	case local && belongsHigher(parent, joiner):
		return ReadersFirst
	case local && !joiner.Known && parent.Children >= parent.Fanout:
		return Full
	default:
		return Accept
	}
}

// belongsHigher reports whether the joiner should ask the readers first, so
// that the tree is filled from the top and stays shallow.
func belongsHigher(parent Parent, joiner Joiner) bool {
	if parent.Reader || joiner.Redirected || joiner.Known || joiner.Refusals >= patience {
		return false
	}
	return parent.KnowsReaders
}

// Child is a child that may take in others.
type Child struct {
	Node, Zone string
	// Expected is the size of its subtree, those on their way to it included.
	Expected uint32
}

// Redirects returns the indices of at most limit children to which a joining
// daemon of zone should go, those with the smallest subtree first.
func Redirects(children []Child, zone, joining string, limit int) []int {
	var indices []int
	for index, child := range children {
		if child.Node != joining && child.Zone == zone {
			indices = append(indices, index)
		}
	}
	slices.SortFunc(indices, func(a, b int) int {
		return cmp.Or(cmp.Compare(children[a].Expected, children[b].Expected), cmp.Compare(children[a].Node, children[b].Node))
	})
	return indices[:min(limit, len(indices))]
}
