// Package status aggregates, at each level of the tree, how many daemons have which revision in
// force, so that a reader can report a whole subtree in one message of bounded size.
//
// Merge is a pure function and safe for concurrent use. It requires that the reports of the
// children are disjoint, which holds because each daemon has one parent.
//
// The number of nodes and the lowest and highest revision of a report are always exact, regardless
// of the details omitted to limit its size.
package status

import (
	"cmp"
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Limits of a report. Each level of the tree sends at most one report per status interval.
const (
	// MaxSample is the maximum number of nodes listed in the report of a large subtree, which only
	// lists nodes that refused a version or are behind.
	MaxSample = 8
	// SmallSubtree is the maximum number of nodes of a subtree whose report lists all nodes.
	SmallSubtree = 16
	// MaxCounts is the maximum number of distinct revisions in a report. When there are more, the
	// highest ones are merged into the next lower one, so that the lowest is always exact.
	MaxCounts = 8
)

// Merge returns the report of a node and its children's reports, which it does not modify.
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
	merged.Counts = limitCounts(counts)
	if merged.Nodes > SmallSubtree {
		merged.Sample = limitSample(merged.Sample, merged.HighestRevision)
	}
	return merged
}

// limitCounts returns at most MaxCounts counts sorted by revision. The highest revisions are merged
// into the next lower one, so that the lowest revision stays exact.
func limitCounts(counts map[uint64]uint32) []*lapisv1.RevisionCount {
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

// limitSample returns at most MaxSample of the nodes that refused a version or are behind: those
// with refusals first, then those furthest behind, then by name.
func limitSample(sample []*lapisv1.NodeStatus, highest uint64) []*lapisv1.NodeStatus {
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
