package scalerun

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/tree"
)

// PhaseFigures are the figures of one phase.
type PhaseFigures struct {
	Phase           string                 `json:"phase"`
	Seconds         float64                `json:"seconds"`
	Changes         int                    `json:"changes"`
	P50Millis       float64                `json:"p50_ms"`
	P99Millis       float64                `json:"p99_ms"`
	MaxMillis       float64                `json:"max_ms"`
	Applies         int64                  `json:"applies"`
	SettledMillis   int64                  `json:"settled_ms"`
	SourceRequests  float64                `json:"source_requests_per_second"`
	ProcessorPerSec float64                `json:"hollow_cores"`
	Roles           map[string]RoleFigures `json:"roles"`
	Convergence     *hdrhistogram.Snapshot `json:"convergence"`
}

// RoleFigures are the figures of the nodes of one role in a phase.
type RoleFigures struct {
	Nodes               int     `json:"nodes"`
	MeanBytesPerSecond  float64 `json:"mean_bytes_per_second"`
	MaxBytesPerSecond   float64 `json:"max_bytes_per_second"`
	MeanFramesPerSecond float64 `json:"mean_frames_per_second"`
	MaxFramesPerSecond  float64 `json:"max_frames_per_second"`
	MaxChildren         int     `json:"max_children"`
	MaxDepth            int     `json:"max_depth"`
	MeanBundles         float64 `json:"mean_bundles"`
	MaxBundles          int     `json:"max_bundles"`
	MeanEndpoints       float64 `json:"mean_endpoints"`
}

// RealFigures are the figures of one lapisvaned.
type RealFigures struct {
	Phase          string  `json:"phase"`
	Address        string  `json:"address"`
	Role           string  `json:"role"`
	CorePercent    float64 `json:"core_percent"`
	ResidentMB     float64 `json:"resident_mb"`
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// ScaleFigures are the figures of a run.
type ScaleFigures struct {
	Hollow             int            `json:"hollow"`
	Real               int            `json:"real"`
	StartMillis        int64          `json:"start_ms"`
	Phases             []PhaseFigures `json:"phases"`
	RealNodes          []RealFigures  `json:"real_nodes"`
	HollowHeapPerNode  float64        `json:"hollow_heap_bytes_per_node"`
	HollowSysPerNode   float64        `json:"hollow_sys_bytes_per_node"`
	NanosPerFrame      float64        `json:"processor_nanos_per_frame"`
	SourceReadersPeak  int64          `json:"source_readers_peak"`
	Violations         []string       `json:"violations"`
	CallsDone          int64          `json:"calls_done"`
	CallsNotDone       int64          `json:"calls_not_done"`
	CallsWrong         int64          `json:"calls_wrong"`
	MaxNodeBytesPerSec float64        `json:"max_node_bytes_per_second"`
	MaxNodeCorePercent float64        `json:"max_node_core_percent"`
	MaxNodeMemoryMB    float64        `json:"max_node_mem_mb"`
	P99Millis          float64        `json:"p99_convergence_ms"`
	HerdP99Millis      float64        `json:"herd_p99_convergence_ms"`
	MissedBudgets      []string       `json:"missed_budgets"`
}

// summarize computes a phase's figures from the reports around it.
func summarize(name string, before, after []HollowReport, elapsed time.Duration) PhaseFigures {
	figures := PhaseFigures{Phase: name, Seconds: elapsed.Seconds(), Roles: map[string]RoleFigures{}}
	earlier := map[string]HollowNode{}
	processorBefore := int64(0)
	for _, report := range before {
		processorBefore += report.ProcessorNanos
		for _, node := range report.Nodes {
			earlier[node.Node] = node
		}
	}
	histogram := hdrhistogram.New(1, callload.MaxLatencyMicros, 3)
	processorAfter := int64(0)
	for _, report := range after {
		processorAfter += report.ProcessorNanos
		histogram.Merge(hdrhistogram.Import(report.Convergence))
		for _, node := range report.Nodes {
			figures.add(node, earlier[node.Node], elapsed)
		}
	}
	for role, sum := range figures.Roles {
		count := float64(sum.Nodes)
		sum.MeanBytesPerSecond /= count
		sum.MeanFramesPerSecond /= count
		sum.MeanBundles /= count
		sum.MeanEndpoints /= count
		figures.Roles[role] = sum
	}
	figures.P50Millis = experiment.Millis(histogram.ValueAtQuantile(50))
	figures.P99Millis = experiment.Millis(histogram.ValueAtQuantile(99))
	figures.MaxMillis = experiment.Millis(histogram.Max())
	figures.Applies = histogram.TotalCount()
	figures.Convergence = histogram.Export()
	figures.ProcessorPerSec = float64(processorAfter-processorBefore) / float64(elapsed.Nanoseconds())
	return figures
}

// add counts a node for its role; a node counts for the role that it has at
// the end.
func (f *PhaseFigures) add(node, earlier HollowNode, elapsed time.Duration) {
	if node.Down {
		return
	}
	role := f.Roles[string(node.Role)]
	bytes := float64(node.BytesIn+node.BytesOut-earlier.BytesIn-earlier.BytesOut) / elapsed.Seconds()
	frames := float64(node.FramesIn+node.FramesOut-earlier.FramesIn-earlier.FramesOut) / elapsed.Seconds()
	role.Nodes++
	role.MeanBytesPerSecond += bytes
	role.MaxBytesPerSecond = max(role.MaxBytesPerSecond, bytes)
	role.MeanFramesPerSecond += frames
	role.MaxFramesPerSecond = max(role.MaxFramesPerSecond, frames)
	role.MaxChildren = max(role.MaxChildren, node.Children)
	role.MaxDepth = max(role.MaxDepth, node.Depth)
	role.MeanBundles += float64(node.Bundles)
	role.MaxBundles = max(role.MaxBundles, node.Bundles)
	role.MeanEndpoints += float64(node.Endpoints)
	f.Roles[string(node.Role)] = role
}

// noteSteady takes the figures that the budgets are about.
func (d *scaleDriver) noteSteady(figures PhaseFigures, before, after []HollowReport, elapsed time.Duration) {
	for _, role := range figures.Roles {
		d.figures.MaxNodeBytesPerSec = max(d.figures.MaxNodeBytesPerSec, role.MaxBytesPerSecond)
	}
	heap, sys, frames, nodes := 0.0, 0.0, 0.0, 0.0
	framesBefore := 0.0
	for _, report := range before {
		for _, node := range report.Nodes {
			framesBefore += float64(node.FramesIn + node.FramesOut)
		}
	}
	for _, report := range after {
		heap += float64(report.HeapBytes)
		sys += float64(report.SysBytes)
		for _, node := range report.Nodes {
			nodes++
			frames += float64(node.FramesIn + node.FramesOut)
		}
	}
	d.figures.HollowHeapPerNode = heap / nodes
	d.figures.HollowSysPerNode = sys / nodes
	d.figures.NanosPerFrame = figures.ProcessorPerSec * float64(elapsed.Nanoseconds()) / (frames - framesBefore)
}

func printPhase(figures PhaseFigures) {
	experiment.Results.Info("scale.phase", "phase", figures.Phase, "seconds", figures.Seconds, "changes", figures.Changes,
		"p50_ms", figures.P50Millis, "p99_ms", figures.P99Millis, "max_ms", figures.MaxMillis, "applies", figures.Applies,
		"settled_ms", figures.SettledMillis, "source_requests_per_second", figures.SourceRequests, "hollow_cores", figures.ProcessorPerSec)
	for _, role := range []tree.Role{tree.RoleLeaf, tree.RoleRelay, tree.RoleReader} {
		sum := figures.Roles[string(role)]
		experiment.Results.Info("scale.role", "phase", figures.Phase, "role", string(role), "nodes", sum.Nodes,
			"mean_bytes_per_second", sum.MeanBytesPerSecond, "max_bytes_per_second", sum.MaxBytesPerSecond,
			"mean_frames_per_second", sum.MeanFramesPerSecond, "max_children", sum.MaxChildren, "max_depth", sum.MaxDepth,
			"mean_bundles", sum.MeanBundles, "mean_endpoints", sum.MeanEndpoints)
	}
}
