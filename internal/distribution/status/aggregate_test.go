package status_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/status"
)

// TestSumsAreRightAtAnyShape builds random trees and checks that the number of nodes and the lowest
// and highest revision are exact, and that the size of the report is limited.
func TestSumsAreRightAtAnyShape(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 60).Draw(rt, "nodes")
		reports := make([]*lapisv1.StatusReport, count)
		children := make([][]*lapisv1.StatusReport, count)
		lowest, highest := uint64(1<<62), uint64(0)
		for index := count - 1; index >= 0; index-- {
			revision := rapid.Uint64Range(1, 40).Draw(rt, "revision")
			lowest, highest = min(lowest, revision), max(highest, revision)
			reports[index] = status.Merge(&lapisv1.NodeStatus{Node: fmt.Sprint(index), Revision: revision}, children[index])
			if index > 0 {
				parent := rapid.IntRange(0, index-1).Draw(rt, "parent")
				children[parent] = append(children[parent], reports[index])
			}
		}
		root := reports[0]
		assert.Equal(rt, root.GetNodes(), uint32(count))
		assert.Equal(rt, lowestRevision(root), lowest)
		assert.Equal(rt, root.GetHighestRevision(), highest)
		counted := uint32(0)
		for _, entry := range root.GetCounts() {
			counted += entry.GetNodes()
		}
		assert.Equal(rt, counted, uint32(count))
		assert.Assert(rt, len(root.GetCounts()) <= status.MaxCounts)
		if count > status.SmallSubtree {
			assert.Assert(rt, len(root.GetSample()) <= status.MaxSample)
		}
	})
}

func TestRefusalsAreNamedFirst(t *testing.T) {
	var reports []*lapisv1.StatusReport
	for index := range 30 {
		node := &lapisv1.NodeStatus{Node: fmt.Sprintf("n%02d", index), Revision: 5}
		if index == 17 {
			node.RefusalCode = 4001
		}
		reports = append(reports, status.Merge(node, nil))
	}
	root := status.Merge(&lapisv1.NodeStatus{Node: "root", Revision: 9}, reports)
	assert.Equal(t, root.GetSample()[0].GetNode(), "n17")
}

// lowestRevision returns the lowest revision in a report, 0 for a report without counts.
func lowestRevision(report *lapisv1.StatusReport) uint64 {
	if len(report.GetCounts()) == 0 {
		return 0
	}
	return report.GetCounts()[0].GetRevision()
}
