package requestbench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/backendstub"
	"github.com/lapisvane/lapisvane/internal/callload"
	"github.com/lapisvane/lapisvane/internal/experiment"
	"github.com/lapisvane/lapisvane/internal/testsite"
)

// fairWork is the service time in the parts about overload, long enough that
// the pool and not this machine is the bottleneck.
const fairWork = 50 * time.Millisecond

// capacity is what the pool can serve, in calls per second.
func (b *requestBench) capacity(work time.Duration) float64 {
	return float64(b.profile.Services[0].Instances*b.profile.Slots) / work.Seconds()
}

// groupLoad is an overload by one group.
func (b *requestBench) groupLoad(group string, duration time.Duration, name string) *callload.Load {
	return &callload.Load{
		Caller: b.caller("/"+group, workHeader(fairWork)), Workers: 250, Duration: duration, Honour: 50 * time.Millisecond,
		Name: fmt.Sprintf("%s-%s-%s", b.profile.Name, name, group),
	}
}

// fair measures each group's part under overload by all, and how long a group
// that was idle takes to have its share back.
func (b *requestBench) fair() error {
	tallies := b.overloadByAll(b.command.Time)
	total := int64(0)
	for _, tally := range tallies {
		total += tally.Done
	}
	worst := 0.0
	for index, group := range fairGroups {
		achieved := 100 * float64(tallies[index].Done) / float64(total)
		worst = max(worst, math.Abs(achieved-float64(group.percent)))
		experiment.Results.Info("bench.result", "name", "fair_share", "profile", b.profile.Name, "group", group.name,
			"declared_percent", group.percent, "achieved_percent", achieved, "calls", tallies[index].Done,
			"refused", tallies[index].NotRun)
	}
	experiment.Results.Info("bench.result", "name", "fair_share", "profile", b.profile.Name, "worst_difference_points", worst, "within", worst <= 5)
	b.returnOfIdleGroup()
	return nil
}

func (b *requestBench) overloadByAll(duration time.Duration) []*callload.Tally {
	tallies := make([]*callload.Tally, len(fairGroups))
	var running sync.WaitGroup
	for index, group := range fairGroups {
		running.Go(func() { tallies[index] = b.keep(b.groupLoad(group.name, duration, "fair").Run(context.Background())) })
	}
	running.Wait()
	return tallies
}

// returnOfIdleGroup lets one group come back while the others use everything,
// and measures when its part first reaches its share.
func (b *requestBench) returnOfIdleGroup() {
	idle := fairGroups[len(fairGroups)-1]
	var running sync.WaitGroup
	for _, group := range fairGroups[:len(fairGroups)-1] {
		running.Go(func() { b.keep(b.groupLoad(group.name, b.command.Time, "return").Run(context.Background())) })
	}
	time.Sleep(b.command.Time / 3)
	started := time.Now()
	load := b.groupLoad(idle.name, b.command.Time/2, "return")
	var tally *callload.Tally
	running.Go(func() { tally = b.keep(load.Run(context.Background())) })
	running.Wait()
	experiment.Results.Info("bench.result", "name", "fair_share_return", "profile", b.profile.Name, "group", idle.name,
		"recovered_ms", recoveredAfter(tally, started, b.capacity(fairWork)*float64(idle.percent)/100))
}

// recoveredAfter returns the time after which the calls done so far first reach
// 95 in 100 of the rate that the share stands for, counted from the end of
// the first service time; -1 when they never do.
func recoveredAfter(tally *callload.Tally, started time.Time, rate float64) int64 {
	const step = 20 * time.Millisecond
	const window = 100 * time.Millisecond
	for at := window; at < tally.Elapsed; at += step {
		done := 0
		for _, one := range tally.Outcomes {
			finished := one.Finished.Sub(started)
			if one.Outcome == callload.OutcomeDone && finished > at-window && finished <= at {
				done++
			}
		}
		if float64(done)/window.Seconds() >= 0.95*rate {
			return at.Milliseconds()
		}
	}
	return -1
}

// drain drains an instance under load, with slow uploads in flight.
func (b *requestBench) drain() error {
	ctx := context.Background()
	var running sync.WaitGroup
	var calls *callload.Tally
	var uploads *callload.Tally
	running.Go(func() {
		load := callload.Load{Caller: b.caller("/order", workHeader(5*time.Millisecond)), Workers: 32, Rate: b.command.Rate, Duration: b.command.Time, Name: b.profile.Name + "-drain"}
		calls = b.keep(load.Run(ctx))
	})
	running.Go(func() {
		caller := b.caller("/upload", workHeader(0))
		caller.Body = func() io.Reader { return newSlowBody(20, 50*time.Millisecond) }
		load := callload.Load{Caller: caller, Workers: 14, Duration: b.command.Time / 2, Name: b.profile.Name + "-drain-upload"}
		uploads = b.keep(load.Run(ctx))
	})
	time.Sleep(b.command.Time / 3)
	instance := fmt.Sprintf("%s-2", b.service)
	drained := time.Now()
	if _, err := b.site.Command(ctx, "machine-05", "drain "+b.service+"/"+instance); err != nil {
		return err
	}
	running.Wait()
	last := b.site.Backends[b.service+"/"+instance].LastNewWork().Sub(drained)
	cut := calls.Unknown + calls.Wrong + uploads.Unknown + uploads.Wrong
	refused := calls.NotRun + uploads.NotRun
	experiment.Results.Info("bench.result", "name", "drain", "profile", b.profile.Name, "last_new_work_after_ms", last.Milliseconds(),
		"calls", calls.Total(), "uploads", uploads.Total(), "cut", cut, "refused", refused, "within", last < 3*time.Second && cut <= maxCallsCut)
	if _, err := b.site.Command(ctx, "machine-05", "undrain "+b.service+"/"+instance); err != nil {
		return err
	}
	if cut > maxCallsCut {
		return fmt.Errorf("%d calls were cut", cut)
	}
	return b.site.WaitEndpoints(ctx, b.service, b.profile.Services[0].Instances)
}

// slowBody is a request body that trickles.
type slowBody struct {
	pieces int
	pause  time.Duration
}

func newSlowBody(pieces int, pause time.Duration) io.Reader { return &slowBody{pieces, pause} }

func (s *slowBody) Read(buffer []byte) (int, error) {
	if s.pieces == 0 {
		return 0, io.EOF
	}
	s.pieces--
	time.Sleep(s.pause)
	return copy(buffer, bytes.Repeat([]byte("x"), 1024)), nil
}

// overload offers three times the pool's capacity, through lapisvane and by
// the naive way: random choice, queues without bound, three retries.
func (b *requestBench) overload() error {
	const times = 3
	capacity := b.capacity(fairWork)
	load := callload.Load{
		Caller: b.caller("/lookup", workHeader(fairWork)), Workers: 1500, Rate: times * capacity, FromDue: true,
		Duration: b.command.Time, Name: b.profile.Name + "-overload",
	}
	b.printOverload("overload", "lapisvane", capacity, b.keep(load.Run(context.Background())))
	return b.naive(times * capacity)
}

func (b *requestBench) printOverload(name, path string, capacity float64, tally *callload.Tally) {
	goodput := steadyRate(tally, b.command.Time) / capacity
	experiment.Results.Info("bench.result", "name", name, "profile", b.profile.Name, "path", path, "offered_times_capacity", 3,
		"goodput_of_capacity", goodput, "done", tally.Done, "refused", tally.NotRun, "unknown", tally.Unknown,
		"p50_ms", experiment.Millis(tally.Latency.ValueAtQuantile(50)), "p99_ms", experiment.Millis(tally.Latency.ValueAtQuantile(99)))
}

// steadyRate returns the calls done per second between the time the load has
// filled the pool and its end.
func steadyRate(tally *callload.Tally, duration time.Duration) float64 {
	first := time.Now()
	for _, one := range tally.Outcomes {
		if begun := one.Finished.Add(-one.Latency); begun.Before(first) {
			first = begun
		}
	}
	done := 0
	for _, one := range tally.Outcomes {
		after := one.Finished.Sub(first)
		if one.Outcome == callload.OutcomeDone && after > duration/4 && after <= duration {
			done++
		}
	}
	return float64(done) / (duration - duration/4).Seconds()
}

// naiveDeadline is when the naive way's callers give up on one attempt.
const naiveDeadline = time.Second

// naive measures the same offered load without lapisvane, on back ends of its
// own so that its backlog does not disturb other parts.
func (b *requestBench) naive(rate float64) error {
	var backends []*backendstub.Server
	for number := range b.profile.Services[0].Instances {
		backend, err := backendstub.Start(backendstub.Options{
			Address: testsite.Loopback, Instance: fmt.Sprintf("naive-%d", number), Slots: b.profile.Slots,
			ConnectionCost: b.profile.ConnectionCost, Behaviour: backendstub.Behaviour{StatedLoad: -1},
		})
		if err != nil {
			return err
		}
		defer backend.Close()
		backends = append(backends, backend)
	}
	client := callload.NewHTTPClient(512)
	started := time.Now()
	tally := callload.NewTally()
	var mutex sync.Mutex
	var running sync.WaitGroup
	for number := 0; time.Since(started) < b.command.Time; number++ {
		callload.SleepUntil(context.Background(), started.Add(time.Duration(float64(number)/rate*float64(time.Second))))
		running.Go(func() {
			one := naiveCall(client, backends, fmt.Sprintf("naive-%d", number))
			mutex.Lock()
			defer mutex.Unlock()
			tally.Add(one)
		})
	}
	running.Wait()
	tally.Elapsed = time.Since(started)
	b.printOverload("naive", "random-unbounded-retry-3", b.capacity(fairWork), tally)
	return nil
}

func naiveCall(client *http.Client, backends []*backendstub.Server, name string) callload.CallResult {
	const tries = 4
	started := time.Now()
	var one callload.CallResult
	for range tries {
		caller := &callload.Caller{
			Target: backends[rand.IntN(len(backends))].Address(), Host: "bench.example", Path: "/lookup",
			Method: http.MethodPost, Header: workHeader(fairWork), Client: client,
		}
		ctx, cancel := context.WithTimeout(context.Background(), naiveDeadline)
		one = caller.Do(ctx, name)
		cancel()
		if one.Outcome == callload.OutcomeDone {
			break
		}
	}
	one.Latency = time.Since(started)
	return one
}
