// Package status sums up, level by level, which revision is in force on how many daemons, so
// that a reader can report a whole subtree in one message of bounded size.
//
// It owns nothing; Merge is a pure function and safe for concurrent use. It relies on the
// children's reports being disjoint, because each daemon has one parent.
//
// What must hold: the number of nodes and the lowest and highest revision of a report are
// exact, whatever is left out to bound it.
package status

import (
	"cmp"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Bounds of a report. Each level of the tree sends one report at each status interval at the most.
const (
	// MaxSample bounds the nodes named in the report of a large subtree; only
	// nodes that refused a version or are behind are named there.
	MaxSample = 8
	// SmallSubtree is the number of nodes up to which all are named.
	SmallSubtree = 16
	// MaxCounts bounds the distinct revisions in a report; the highest ones
	// beyond it are merged downward, so that the lowest is always exact.
	MaxCounts = 8
)

// Merge returns the report of a node with its children's reports; it changes none of them.
func Merge(self *lapisv1.NodeStatus, children []*lapisv1.StatusReport) *lapisv1.StatusReport {
	counts := map[uint64]uint32{self.GetRevision(): 1}
	merged := &lapisv1.StatusReport{
		Nodes:           1,
		HighestRevision: self.GetRevision(),
		Sample:          []*lapisv1.NodeStatus{self},
	}
	for _, child := range children {
		merged.Nodes += child.GetNodes()
		merged.Depth = max(merged.Depth, child.GetDepth()+1)
		merged.HighestRevision = max(merged.HighestRevision, child.GetHighestRevision())
		merged.Sample = append(merged.Sample, child.GetSample()...)
		for _, count := range child.GetCounts() {
			counts[count.GetRevision()] += count.GetNodes()
		}
	}
	merged.Counts = boundCounts(counts)
	if merged.Nodes > SmallSubtree {
		merged.Sample = boundSample(merged.Sample, merged.HighestRevision)
	}
	return merged
}

// boundCounts returns the counts in order of revision, at most MaxCounts of them. The
// highest are merged downward, so that the lowest revision stays exact.
func boundCounts(counts map[uint64]uint32) []*lapisv1.RevisionCount {
	list := make([]*lapisv1.RevisionCount, 0, len(counts))
	for revision, nodes := range counts {
		list = append(list, &lapisv1.RevisionCount{Revision: revision, Nodes: nodes})
	}
	slices.SortFunc(list, func(a, b *lapisv1.RevisionCount) int { return cmp.Compare(a.Revision, b.Revision) })
	for len(list) > MaxCounts {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		list[len(list)-1].Nodes += last.Nodes
	}
	return list
}

// boundSample keeps at most MaxSample of the nodes that refused a version or are behind:
// those with refusals first, then those furthest behind, then by name.
func boundSample(sample []*lapisv1.NodeStatus, highest uint64) []*lapisv1.NodeStatus {
	sample = slices.DeleteFunc(slices.Clone(sample), func(node *lapisv1.NodeStatus) bool {
		return node.GetRefusalCode() == 0 && node.GetRevision() >= highest
	})
	slices.SortStableFunc(sample, func(a, b *lapisv1.NodeStatus) int {
		return cmp.Or(
			-cmp.Compare(min(a.GetRefusalCode(), 1), min(b.GetRefusalCode(), 1)),
			cmp.Compare(a.GetRevision(), b.GetRevision()),
			cmp.Compare(a.GetNode(), b.GetNode()),
		)
	})
	return sample[:min(len(sample), MaxSample)]
}
