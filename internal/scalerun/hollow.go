package scalerun

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/cli"
	"github.com/lapisvane/lapisvane/internal/distbench"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/holdings"
	"github.com/lapisvane/lapisvane/internal/meshconfig"
	"github.com/lapisvane/lapisvane/internal/result"
	"github.com/lapisvane/lapisvane/internal/topology"
	"github.com/lapisvane/lapisvane/internal/tree"
)

// HollowCommand runs many hollow daemons in one process and obeys the driver of
// a scale run.
type HollowCommand struct {
	Platform    string        `long:"platform" description:"IP:port of the platform stand-in" required:"true"`
	Control     string        `long:"control" description:"IP:port for the driver" required:"true"`
	First       int           `long:"first" description:"number of the first hollow daemon" default:"0"`
	Count       int           `long:"count" description:"hollow daemons in this process" default:"500"`
	Services    int           `long:"services" description:"services in the configuration" default:"950"`
	PerProxy    int           `long:"per-proxy" description:"services that each daemon uses" default:"30"`
	ZoneDelay   time.Duration `long:"zone-delay" description:"one-way delay between zones" default:"500us"`
	RegionDelay time.Duration `long:"region-delay" description:"one-way delay between regions" default:"15ms"`
	Seed        uint64        `long:"seed" description:"seed of all randomness" default:"1"`
}

// maxHollowPerProcess keeps a process within 20,000 open files: a hollow daemon
// has a listener, a parent, and its part of the children and of the platform.
const maxHollowPerProcess = 2500

// Execute implements flags.Commander.
func (c *HollowCommand) Execute([]string) error {
	if c.Count < 1 || c.Count > maxHollowPerProcess {
		return fmt.Errorf("count must be from 1 to %d", maxHollowPerProcess)
	}
	listener, err := net.Listen("tcp", c.Control)
	if err != nil {
		return result.Wrap(result.SettingsBadAddress, err, "control")
	}
	fleet := distbench.JoinFleet(distbench.FleetShape{
		Proxies: c.Count, First: c.First, Platform: c.Platform, Seed: c.Seed + uint64(c.First), Seeds: 3,
		Zones: topology.ScaleLayout.Zones, Regions: topology.ScaleLayout.Regions,
		ListenAddress: func(zone int) string { return topology.ScaleLayout.Addresses[zone] },
		Services:      c.Services, PerProxy: c.PerProxy, Tunables: features.Convergence(),
		ZoneDelay: c.ZoneDelay, RegionDelay: c.RegionDelay,
	})
	host := &hollowHost{fleet: fleet, recorder: newRecorder()}
	fleet.Judge = host.recorder
	server := &http.Server{Handler: host.routes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	stop, _ := cli.Signals()
	<-stop
	_ = server.Close()
	os.Exit(cli.ExitOK)
	return nil
}

// recorder checks what hollow daemons put in force, and records convergence
// from the times of acceptance that the driver states.
type recorder struct {
	mutex      sync.Mutex
	accepted   map[uint64]time.Time
	waiting    map[uint64][]time.Time
	histogram  *hdrhistogram.Histogram
	violations []string
	// content gives the change that each service is at in each revision; two
	// daemons with the same revision must agree, or one has it in part.
	content map[uint64]map[string]uint64
	// checked holds the bundles that each daemon had last; they are immutable
	// and need no second check.
	checked map[string]map[string]*lapisv1.EncodedBundle
}

func newRecorder() *recorder {
	return &recorder{
		accepted: map[uint64]time.Time{}, waiting: map[uint64][]time.Time{},
		histogram: hdrhistogram.New(1, callload.MaxLatencyMicros, 3), content: map[uint64]map[string]uint64{},
		checked: map[string]map[string]*lapisv1.EncodedBundle{},
	}
}

// Judge implements the judge of a fleet.
func (r *recorder) Judge(node string, interest holdings.Interest, previous uint64, applied tree.Applied) {
	now := time.Now()
	var faults []string
	if applied.Revision <= previous {
		faults = append(faults, fmt.Sprintf("%s put %d in force after %d", node, applied.Revision, previous))
	}
	r.mutex.Lock()
	checked := r.checked[node]
	r.checked[node] = applied.Bundles
	r.mutex.Unlock()
	for service, encoded := range applied.Bundles {
		if checked[service] == encoded {
			continue
		}
		if _, err := meshconfig.DecodeBundle(encoded); err != nil {
			faults = append(faults, fmt.Sprintf("%s: %s: %v", node, service, err))
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.note(faults)
	r.compare(node, interest, applied)
	for revision := max(previous+1, applied.Revision-min(applied.Revision, maxMerged)+1); revision <= applied.Revision; revision++ {
		if at, known := r.accepted[revision]; known {
			if previous > 0 || at.After(now.Add(-recentAccept)) {
				_ = r.histogram.RecordValue(max(now.Sub(at).Microseconds(), 1))
			}
			continue
		}
		if previous > 0 {
			r.waiting[revision] = append(r.waiting[revision], now)
		}
	}
}

const (
	// maxMerged bounds the revisions looked back over in one step.
	maxMerged = 200
	// recentAccept is the age up to which the acceptance of a revision counts
	// for a daemon that has just been replaced; older ones it had no part in.
	recentAccept = time.Second
)

func (r *recorder) note(faults []string) {
	r.violations = append(r.violations, faults...)
	if len(r.violations) > distbench.MaxViolations {
		r.violations = r.violations[:distbench.MaxViolations]
	}
}

// compare checks that daemons with the same revision hold the same content.
func (r *recorder) compare(node string, interest holdings.Interest, applied tree.Applied) {
	const keptRevisions = 64
	content, known := r.content[applied.Revision]
	if !known {
		content = map[string]uint64{}
		r.content[applied.Revision] = content
		delete(r.content, applied.Revision-min(applied.Revision, keptRevisions))
	}
	for service := range interest.Services {
		held := applied.Bundles[service].GetChangedRevision()
		if seen, ok := content[service]; ok && seen != held {
			r.note([]string{fmt.Sprintf("%s has %s of change %d in revision %d, others %d", node, service, held, applied.Revision, seen)})
		}
		content[service] = held
	}
}

// acceptedAt takes in the time of an acceptance.
func (r *recorder) acceptedAt(revision uint64, at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.accepted[revision] = at
	for _, applied := range r.waiting[revision] {
		_ = r.histogram.RecordValue(max(applied.Sub(at).Microseconds(), 1))
	}
	delete(r.waiting, revision)
}

// take returns the convergence recorded since the last call.
func (r *recorder) take() *hdrhistogram.Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	snapshot := r.histogram.Export()
	r.histogram.Reset()
	return snapshot
}

// hollowHost is the process as the driver sees it.
type hollowHost struct {
	fleet    *distbench.Fleet
	recorder *recorder
}

// Accepted is the driver's statement of an acceptance.
type Accepted struct {
	Revision  uint64 `json:"revision"`
	UnixNanos int64  `json:"unix_nanos"`
}

// Disturbance is an order to disturb a process' daemons.
type Disturbance struct {
	// RestartPart replaces that part of the daemons at once.
	RestartPart float64 `json:"restart_part,omitempty"`
	// Isolate and Join name zones or regions.
	Isolate []string `json:"isolate,omitempty"`
	Join    []string `json:"join,omitempty"`
	// StopZone takes down up to StopCount daemons of a zone, as when a rack
	// fails; StartAll brings back all that are down.
	StopZone  string `json:"stop_zone,omitempty"`
	StopCount int    `json:"stop_count,omitempty"`
	StartAll  bool   `json:"start_all,omitempty"`
}

// HollowReport is what a process tells the driver.
type HollowReport struct {
	Nodes          []HollowNode           `json:"nodes"`
	Convergence    *hdrhistogram.Snapshot `json:"convergence,omitempty"`
	Violations     []string               `json:"violations,omitempty"`
	HeapBytes      uint64                 `json:"heap_bytes"`
	SysBytes       uint64                 `json:"sys_bytes"`
	ProcessorNanos int64                  `json:"processor_nanos"`
	Goroutines     int                    `json:"goroutines"`
}

// HollowNode is one hollow daemon in a report.
type HollowNode struct {
	Node      string    `json:"node"`
	Zone      string    `json:"zone"`
	Role      tree.Role `json:"role"`
	Down      bool      `json:"down,omitempty"`
	InForce   uint64    `json:"in_force"`
	BytesIn   int64     `json:"bytes_in"`
	BytesOut  int64     `json:"bytes_out"`
	FramesIn  int64     `json:"frames_in"`
	FramesOut int64     `json:"frames_out"`
	Children  int       `json:"children"`
	Depth     int       `json:"depth"`
	Bundles   int       `json:"bundles"`
	Endpoints int       `json:"endpoints"`
}

func (h *hollowHost) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /start", func(w http.ResponseWriter, _ *http.Request) {
		if err := h.fleet.Start(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("PUT /accepted", func(w http.ResponseWriter, r *http.Request) {
		var accepted Accepted
		if readJSON(w, r, &accepted) {
			h.recorder.acceptedAt(accepted.Revision, time.Unix(0, accepted.UnixNanos))
		}
	})
	mux.HandleFunc("PUT /disturb", func(w http.ResponseWriter, r *http.Request) {
		var disturbance Disturbance
		if !readJSON(w, r, &disturbance) {
			return
		}
		if err := h.disturb(disturbance); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(h.report(r.URL.Query().Get("convergence") != ""))
	})
	return mux
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (h *hollowHost) disturb(order Disturbance) error {
	h.fleet.Topology.Isolate(true, order.Isolate...)
	h.fleet.Topology.Isolate(false, order.Join...)
	if order.StopZone != "" {
		stopped := 0
		for _, member := range h.fleet.Members {
			if member.Place.Zone == order.StopZone && stopped < order.StopCount && !member.IsDown() {
				stopped++
				member.Kill()
			}
		}
	}
	if order.StartAll {
		for _, member := range h.fleet.Members {
			if member.IsDown() {
				if err := member.Restart(); err != nil {
					return err
				}
			}
		}
	}
	if order.RestartPart > 0 {
		return h.fleet.RestartPart(order.RestartPart)
	}
	return nil
}

func (h *hollowHost) report(withConvergence bool) HollowReport {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	report := HollowReport{
		HeapBytes: memory.HeapInuse, SysBytes: memory.Sys, Goroutines: runtime.NumGoroutine(),
		ProcessorNanos: experiment.ProcessorTime().Nanoseconds(),
	}
	if withConvergence {
		report.Convergence = h.recorder.take()
	}
	h.recorder.mutex.Lock()
	report.Violations = append([]string(nil), h.recorder.violations...)
	h.recorder.mutex.Unlock()
	for _, member := range h.fleet.Members {
		report.Nodes = append(report.Nodes, describe(member))
	}
	return report
}

func describe(h *distbench.Hollow) HollowNode {
	h.Mutex.Lock()
	node, down, inForce := h.Node, h.Down, h.InForce
	h.Mutex.Unlock()
	described := HollowNode{Node: h.Place.Node, Zone: h.Place.Zone, Down: down, InForce: inForce}
	if node == nil {
		return described
	}
	info := node.Info()
	described.Role, described.Children, described.Depth = info.Role, info.Children, info.Depth
	described.Bundles, described.Endpoints = info.Bundles, info.Endpoints
	described.BytesIn, described.BytesOut = h.BytesIn(), h.BytesOut()
	described.FramesIn, described.FramesOut = h.Counters.FramesIn.Load(), h.Counters.FramesOut.Load()
	return described
}
