package scalerun

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/distbench"
	"github.com/lapisvane/lapisvane/internal/experiment"
)

// realSample is what the metrics of a lapisvaned say at one time.
type realSample struct {
	address             string
	processor, resident float64
	bytes               float64
	reader, children    float64
}

// sampleReal reads the metrics of every real daemon.
func (d *scaleDriver) sampleReal() []realSample {
	samples := make([]realSample, len(d.command.Real))
	var reading sync.WaitGroup
	for index, address := range d.command.Real {
		reading.Go(func() { samples[index] = readMetrics(address) })
	}
	reading.Wait()
	return samples
}

func readMetrics(address string) realSample {
	sample := realSample{address: address}
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, _ := strings.Cut(scanner.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			sample.processor = value
		case "process_resident_memory_bytes":
			sample.resident = value
		case "lapisvane_control_bytes_in_total", "lapisvane_control_bytes_out_total", "lapisvane_source_bytes_in_total":
			sample.bytes += value
		case "lapisvane_reader":
			sample.reader = value
		case "lapisvane_tree_children":
			sample.children = value
		}
	}
	return sample
}

// noteReal computes the figures of the real daemons over a phase. In the steady
// phase they carry no calls, so that it shows the cost of control alone and is
// what the budgets are judged by; later phases include the calls.
func (d *scaleDriver) noteReal(phase string, before, after []realSample, elapsed time.Duration) {
	for index, sample := range after {
		role := "leaf"
		if sample.children > 0 {
			role = "relay"
		}
		if sample.reader > 0 {
			role = "reader"
		}
		figures := RealFigures{
			Phase: phase, Address: sample.address, Role: role, ResidentMB: sample.resident / (1 << 20),
			CorePercent:    100 * (sample.processor - before[index].processor) / elapsed.Seconds(),
			BytesPerSecond: (sample.bytes - before[index].bytes) / elapsed.Seconds(),
		}
		d.figures.RealNodes = append(d.figures.RealNodes, figures)
		d.figures.MaxNodeMemoryMB = max(d.figures.MaxNodeMemoryMB, figures.ResidentMB)
		if phase == "steady" {
			d.figures.MaxNodeCorePercent = max(d.figures.MaxNodeCorePercent, figures.CorePercent)
			d.figures.MaxNodeBytesPerSec = max(d.figures.MaxNodeBytesPerSec, figures.BytesPerSecond)
		}
		experiment.Results.Info("scale.real", "phase", phase, "address", sample.address, "role", role, "core_percent", figures.CorePercent,
			"resident_mb", figures.ResidentMB, "bytes_per_second", figures.BytesPerSecond)
	}
}

// callsPerDaemon is the rate of calls at each real daemon: 780,000 a second over
// 19,000 daemons.
const callsPerDaemon = 41

// startCalls keeps real calls going through the real daemons. The returned
// function ends them and adds them up.
func (d *scaleDriver) startCalls() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var done, notDone, wrong atomic.Int64
	for index, address := range d.command.Callers {
		running.Go(func() {
			load := callload.Load{
				Caller: &callload.Caller{
					Target: address, Host: distbench.ServiceName(realService) + ".mesh.example", Path: "/write/" + strconv.Itoa(index),
					Method: http.MethodPost, Client: callload.NewHTTPClient(8),
				},
				Workers: 4, Rate: callsPerDaemon, Duration: experiment.MaxRunTime, Name: "scale-" + strconv.Itoa(index),
			}
			tally := load.Run(ctx)
			done.Add(tally.Done)
			notDone.Add(tally.NotRun + tally.Unknown)
			wrong.Add(tally.Wrong)
			if tally.Done < tally.Total() {
				experiment.Results.Info("scale.calls", "caller", address, "done", tally.Done, "results", fmt.Sprint(tally.Results))
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
		d.figures.CallsDone, d.figures.CallsNotDone, d.figures.CallsWrong = done.Load(), notDone.Load(), wrong.Load()
	}
}

// realService is the number of the service that the real daemons serve.
const realService = 0
