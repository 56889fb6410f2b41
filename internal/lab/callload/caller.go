// Package callload is a stand-in for callers: it makes calls at a given rate, checks that every
// answer belongs to its call, and counts the outcomes.
//
// Run starts goroutines and waits for their end. Answers must have the form of package
// backendstub. Each call is counted exactly once, as done, not run, unknown or wrong.
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

// Outcome is the result of one call from the caller's point of view.
type Outcome string

const (
	// OutcomeDone is a complete answer with the expected content.
	OutcomeDone Outcome = "done"
	// OutcomeWrong is a complete answer that belongs to another call or is
	// corrupt.
	OutcomeWrong Outcome = "wrong"
	// OutcomeNotRun means that the call was certainly not executed.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may or may not have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// CallResult is the result of one finished call.
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
	// Target is the address on which a daemon accepts callers, or that of a back
	// end for a comparison without a daemon.
	Target string
	Host   string
	Path   string
	Method string
	Header http.Header
	// Body returns a new request body for each call; nil for an empty body.
	Body   func() io.Reader
	Client *http.Client
}

// NewHTTPClient returns a client that keeps up to the given number of idle connections per host. With
// the bodies that Caller sends it never retries a request.
func NewHTTPClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, DisableCompression: true, IdleConnTimeout: 20 * time.Second,
	}}
}

// Do makes one call under the given name.
func (c *Caller) Do(ctx context.Context, call string) CallResult {
	started := time.Now()
	finished := c.exchange(ctx, call)
	finished.Call = call
	finished.Latency = time.Since(started)
	return finished
}

// unrepeatableBody hides the type of a body from the HTTP client, which can then not send it again.
type unrepeatableBody struct{ io.Reader }

// body returns the request body. The HTTP client retries a GET when a kept-alive
// connection breaks, unless the body cannot be sent again; it never retries a
// POST. A retry would run a call twice.
func (c *Caller) body() io.Reader {
	switch {
	case c.Body != nil:
		return unrepeatableBody{c.Body()}
	case c.Method == http.MethodGet:
		return unrepeatableBody{http.NoBody}
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

// failureOutcome returns the outcome of a call without an answer. Only a failed dial proves that the
// call did not run.
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

// Load makes calls at a fixed rate, or as fast as its workers can.
type Load struct {
	Caller  *Caller
	Workers int
	// Rate is the total number of calls per second; 0 for no limit.
	Rate     float64
	Duration time.Duration
	// Name is the prefix of the calls' names.
	Name string
}

// Tally counts the calls of a load by outcome, result and instance.
type Tally struct {
	Done, Wrong, NotRun, Unknown int64
	// Latency holds the latencies of the calls done, in microseconds.
	Latency *hdrhistogram.Histogram
	Results map[string]int64
	// ByInstance counts the calls done by instance.
	ByInstance map[string]int64
	// Calls are all calls in the order in which they finished.
	Calls []CallResult
}

// Total returns the number of calls.
func (t *Tally) Total() int64 { return t.Done + t.Wrong + t.NotRun + t.Unknown }

// maxLatencyMicros is the highest latency that the histogram records, 120 s.
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

// Run makes calls until the duration has passed or ctx ends, and waits for those that have begun.
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
	for call := range finished {
		tally.add(call)
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
		// A call that has begun finishes even if the load ends.
		finished <- l.Caller.Do(context.WithoutCancel(ctx), fmt.Sprintf("%s-%d", l.Name, number))
	}
}
