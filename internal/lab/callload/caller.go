// Package callload is a stand-in for callers: it makes calls at a rate, checks every answer
// against what was asked for, and tallies the outcomes.
//
// It owns its HTTP connections and the goroutines of one Run, which ends them. It relies on
// answers in the form of package backendstub. What must hold: each call is counted once, as
// done, not run, unknown or wrong.
package callload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/lab/backendstub"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Outcome is what a caller learned of one call.
type Outcome string

const (
	// OutcomeDone is a whole answer with the right content.
	OutcomeDone Outcome = "done"
	// OutcomeWrong is an answer that belongs to another call or is damaged
	// although it looked whole.
	OutcomeWrong   Outcome = "wrong"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// CallResult is one finished call.
type CallResult struct {
	Call     string
	Outcome  Outcome
	Status   int
	Result   string
	Instance string
	Latency  time.Duration
}

// Caller makes calls and checks their answers.
type Caller struct {
	// Target is the caller address of a daemon, or a back end for a direct
	// comparison.
	Target string
	Host   string
	Path   string
	Method string
	Header http.Header
	// Body makes a fresh request body for each call; nil for none.
	Body   func() io.Reader
	Client *http.Client
}

// NewHTTPClient returns a client that never repeats a request by itself.
func NewHTTPClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, DisableCompression: true, IdleConnTimeout: 20 * time.Second,
	}}
}

// Do makes one call with the given name.
func (c *Caller) Do(ctx context.Context, call string) CallResult {
	started := time.Now()
	finished := c.exchange(ctx, call)
	finished.Call = call
	finished.Latency = time.Since(started)
	return finished
}

// oneShot hides the body's type from the HTTP client, so that it cannot send it twice.
type oneShot struct{ io.Reader }

// body returns the request body. The HTTP client repeats a GET on its own when
// a kept connection breaks, unless its body cannot be sent twice; it never
// repeats a POST.
func (c *Caller) body() io.Reader {
	switch {
	case c.Body != nil:
		return oneShot{c.Body()}
	case c.Method == http.MethodGet:
		return oneShot{http.NoBody}
	default:
		return http.NoBody
	}
}

func (c *Caller) exchange(ctx context.Context, call string) CallResult {
	body := c.body()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Target+c.Path, body)
	if err != nil {
		return CallResult{Outcome: OutcomeNotRun, Result: err.Error()}
	}
	if c.Header != nil {
		request.Header = c.Header.Clone()
	}
	request.Host = c.Host
	request.Header.Set(backendstub.HeaderCall, call)
	response, err := c.Client.Do(request)
	if err != nil {
		return CallResult{Outcome: failureOutcome(err), Result: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	finished := CallResult{
		Status: response.StatusCode, Result: response.Header.Get(callapi.HeaderResult),
		Instance: response.Header.Get(backendstub.HeaderInstance),
	}
	finished.Outcome = checkAnswer(response, content, err, call)
	return finished
}

// failureOutcome returns the outcome of a call without an answer: only a refused connection proves
// that it did not run.
func failureOutcome(err error) Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

func checkAnswer(response *http.Response, content []byte, readErr error, call string) Outcome {
	if readErr != nil {
		return OutcomeUnknown
	}
	if outcome := response.Header.Get(callapi.HeaderOutcome); outcome != "" && outcome != callapi.OutcomeDone {
		return Outcome(outcome)
	}
	if response.StatusCode != http.StatusOK {
		if response.Header.Get(callapi.HeaderNotRun) != "" {
			return OutcomeNotRun
		}
		return OutcomeUnknown
	}
	prefix := fmt.Sprintf("call=%s instance=", call)
	if !strings.HasPrefix(string(content), prefix) {
		return OutcomeWrong
	}
	return OutcomeDone
}

// Load makes calls at a steady rate, or as fast as its workers can.
type Load struct {
	Caller  *Caller
	Workers int
	// Rate is the number of calls per second in all; 0 for as fast as the
	// workers can.
	Rate     float64
	Duration time.Duration
	// Name is the prefix of the calls' names.
	Name string
}

// Tally is the sum of a load's calls.
type Tally struct {
	Done, Wrong, NotRun, Unknown int64
	// Latency holds the latencies of calls done, in microseconds.
	Latency *hdrhistogram.Histogram
	Results map[string]int64
	// ByInstance counts the calls done by instance.
	ByInstance map[string]int64
	// Calls are all calls in the order of their ends.
	Calls []CallResult
}

// Total returns the number of calls.
func (t *Tally) Total() int64 { return t.Done + t.Wrong + t.NotRun + t.Unknown }

// maxLatencyMicros bounds the latency histogram.
const maxLatencyMicros = 120 * 1000 * 1000

func newTally() *Tally {
	return &Tally{
		Latency: hdrhistogram.New(1, maxLatencyMicros, 3),
		Results: map[string]int64{}, ByInstance: map[string]int64{},
	}
}

func (t *Tally) add(finished CallResult) {
	switch finished.Outcome {
	case OutcomeDone:
		t.Done++
		t.ByInstance[finished.Instance]++
		_ = t.Latency.RecordValue(finished.Latency.Microseconds())
	case OutcomeWrong:
		t.Wrong++
	case OutcomeNotRun:
		t.NotRun++
	default:
		t.Unknown++
	}
	t.Results[finished.Result]++
	t.Calls = append(t.Calls, finished)
}

// Run makes the calls until the duration is over or ctx ends.
func (l *Load) Run(ctx context.Context) *Tally {
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	started := time.Now()
	var count atomic.Int64
	finished := make(chan CallResult, 1024)
	var workers sync.WaitGroup
	for range l.Workers {
		workers.Go(func() { l.work(ctx, started, &count, finished) })
	}
	go func() {
		workers.Wait()
		close(finished)
	}()
	tally := newTally()
	for one := range finished {
		tally.add(one)
	}
	return tally
}

func (l *Load) work(ctx context.Context, started time.Time, count *atomic.Int64, finished chan<- CallResult) {
	for ctx.Err() == nil {
		number := count.Add(1)
		if l.Rate > 0 {
			due := started.Add(time.Duration(float64(number) / l.Rate * float64(time.Second)))
			if !sleep.For(ctx, time.Until(due)) {
				return
			}
		}
		// A call that has begun is finished even if the load ends.
		finished <- l.Caller.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d", l.Name, number))
	}
}
