// Package client is a stand-in for the clients of the emulated platform: they send requests to
// the daemon of their machine, try again as they may, and check every answer.
//
// It owns its connections and the goroutines of its loads, which end with their context. It
// relies on the names of package platform and records what it sent and got in the ledger of
// package promise.
package client

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

// Class is a kind of request.
type Class struct {
	Name string
	Host string
	Path string
	Safe bool
	// Services are those that configurations allow it to run at.
	Services  []string
	PerSecond float64
	Deadline  time.Duration
	BodyBytes int
	// AnswerBytes is the size of the answer asked for.
	AnswerBytes int
	// CallPath, unless empty, makes the instance call on, at CallService.
	CallPath    string
	CallService string
	// Attempts is the most instances that one try may run at.
	Attempts int
	// Regions are those in which configurations allow it to run; empty for all.
	Regions []string
	// Retries is the number of further tries of a request.
	Retries int
	// Key is the API key that it presents, empty for none, and Accounts are those that the
	// instance may be told; nil where that is not checked.
	Key      string
	Accounts []string
}

// Target is a machine that requests start on.
type Target struct {
	// Address returns where its daemon takes calls; empty while there is none.
	Address func() string
	// Service returns the service of the machine.
	Service func() string
}

// Outcome is how a request ended.
type Outcome int

// Outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
)

// Tally counts outcomes. It is safe for concurrent use.
type Tally struct {
	Served, Refused, Failed atomic.Int64

	// mutex protects latency, in microseconds.
	mutex   sync.Mutex
	latency *hdrhistogram.Histogram
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{latency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (t *Tally) add(outcome Outcome, took time.Duration) {
	switch outcome {
	case Served:
		t.Served.Add(1)
		t.mutex.Lock()
		_ = t.latency.RecordValue(max(took.Microseconds(), 1))
		t.mutex.Unlock()
	case Refused:
		t.Refused.Add(1)
	default:
		t.Failed.Add(1)
	}
}

// Latency returns the latency of served requests at a percentile.
func (t *Tally) Latency(percentile float64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Duration(t.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Load sends the requests of some classes.
type Load struct {
	Classes []Class
	// Bursts are rows of requests sent ahead on one connection.
	Bursts []Burst
	// Kept are callers on connections that they keep.
	Kept    []Kept
	Targets []Target
	Ledger  *promise.Ledger
	Tally   *Tally
	Seed    uint64
}

// nextRequest makes request ids unique within the process.
var nextRequest atomic.Uint64

// Run sends requests until ctx ends, and waits for those on their way.
func (l *Load) Run(ctx context.Context) {
	var running sync.WaitGroup
	for index, class := range l.Classes {
		random := rand.New(rand.NewPCG(l.Seed, uint64(index)))
		running.Go(func() { l.send(ctx, class, random) })
	}
	for index, burst := range l.Bursts {
		random := rand.New(rand.NewPCG(l.Seed, uint64(len(l.Classes)+index)))
		running.Go(func() { l.sendBursts(ctx, burst, random) })
	}
	for index, kept := range l.Kept {
		for number := range kept.Connections * len(l.Targets) {
			random := rand.New(rand.NewPCG(l.Seed, uint64(index+1)<<32|uint64(number)))
			running.Go(func() { l.keep(ctx, kept, l.Targets[number%len(l.Targets)], random) })
		}
	}
	running.Wait()
}

func (l *Load) send(ctx context.Context, class Class, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for sleep.For(ctx, time.Duration(random.ExpFloat64()/class.PerSecond*float64(time.Second))) {
		target := l.Targets[random.IntN(len(l.Targets))]
		body := make([]byte, class.BodyBytes)
		for index := range body {
			body[index] = byte(random.Uint32())
		}
		running.Go(func() { l.request(class, target, transport, body) })
	}
}

// request sends one request, with its retries.
func (l *Load) request(class Class, target Target, transport *http.Transport, body []byte) {
	started := time.Now()
	deadline := started.Add(class.Deadline)
	outcome := Failed
	for try := range class.Retries + 1 {
		var wait time.Duration
		var again bool
		outcome, wait, again = l.attempt(class, target, transport, body, deadline, try > 0)
		left := time.Until(deadline)
		if outcome == Served || !again || left <= 0 {
			break
		}
		time.Sleep(min(wait, left/3))
	}
	l.Tally.add(outcome, time.Since(started))
}

// attempt makes one try. It tells how long to wait before another, and whether there may be one.
func (l *Load) attempt(class Class, target Target, transport *http.Transport, body []byte, deadline time.Time, fresh bool) (Outcome, time.Duration, bool) {
	address := target.Address()
	if address == "" {
		return Failed, 20 * time.Millisecond, true
	}
	wait := max(time.Until(deadline).Milliseconds(), 1)
	id := l.announce(class, target, address, body, wait)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	sends := &sendWatch{ledger: l.Ledger, id: id}
	request, err := newRequest(httptrace.WithClientTrace(ctx, sends.trace()), class, "http://"+address, id, body, wait)
	if err != nil {
		return Failed, 0, false
	}
	request.Close = fresh
	response, err := transport.RoundTrip(request)
	if err != nil {
		if ctx.Err() == nil {
			sends.unanswered(err.Error())
		}
		return Failed, 0, class.Safe
	}
	defer func() { _ = response.Body.Close() }()
	return l.evaluate(class, id, response)
}

// announce enters a request to the daemon at an address, which waits for so many milliseconds, into
// the ledger and returns its id.
func (l *Load) announce(class Class, target Target, address string, body []byte, wait int64) string {
	id := "r" + strconv.FormatUint(nextRequest.Add(1), 36)
	l.Ledger.Sent(promise.Request{
		ID: id, Services: set(class.Services), Safe: class.Safe, BodyDigest: promise.DigestOf(body),
		Caller: target.Service(), SentAt: time.Now(), DaemonAddress: address, Timeout: time.Duration(wait) * time.Millisecond, MaxAttempts: class.Attempts, AllowedRegions: class.Regions,
		APIKey: class.Key, AllowedAccounts: accountSet(class.Accounts),
	})
	return id
}

func newRequest(ctx context.Context, class Class, base, id string, body []byte, wait int64) (*http.Request, error) {
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, base+class.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The library must not send a body a second time by itself.
	request.GetBody = nil
	request.Host = class.Host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(wait, 10))
	request.Header.Set(instance.HeaderAnswerBytes, strconv.Itoa(class.AnswerBytes))
	if class.Key != "" {
		request.Header.Set(platform.HeaderKey, class.Key)
	}
	if class.CallPath != "" {
		request.Header.Set(instance.HeaderCall, class.CallPath)
		request.Header.Set(instance.HeaderCall+"-Service", class.CallService)
	}
	return request, nil
}

// evaluate records an answer. Like attempt it returns how long to wait before another try, and
// whether there may be one.
func (l *Load) evaluate(class Class, id string, response *http.Response) (Outcome, time.Duration, bool) {
	received, readErr := io.ReadAll(response.Body)
	stamp := response.Header.Get(platform.HeaderStamp)
	success := response.StatusCode/100 == 2
	if success && readErr != nil {
		// Broken off, and seen to be.
		return Failed, 0, class.Safe
	}
	whole := stamp != "" && string(received) == instance.Body(stamp, class.AnswerBytes)
	l.Ledger.Answered(promise.Answer{Request: id, Status: response.StatusCode, Stamp: stamp, Complete: whole})
	switch {
	case success:
		return Served, 0, false
	case response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return Refused, time.Duration(seconds * float64(time.Second)), true
	default:
		return Failed, 0, class.Safe
	}
}

// accountSet is set, nil where the account is not checked.
func accountSet(names []string) map[string]bool {
	if names == nil {
		return nil
	}
	return set(names)
}

func set(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}
