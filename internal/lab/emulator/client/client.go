// Package client emulates clients of the platform. They send requests to the daemon on their machine,
// retry where that is allowed, and check every answer.
//
// The package owns its connections and the goroutines of its loads, which end with their context. It
// uses the header names of package platform and records requests and answers in a promise.Ledger.
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

// Class describes one kind of request that a load sends.
type Class struct {
	Name string
	Host string
	Path string
	Safe bool
	// Services are the services that configurations allow the request to run at.
	Services          []string
	RequestsPerSecond float64
	Deadline          time.Duration
	BodyBytes         int
	// AnswerBytes is the requested size of the answer's body.
	AnswerBytes int
	// CallPath is the path of a call that the instance makes to CallService while it runs the request;
	// empty for no call.
	CallPath    string
	CallService string
	// MaxAttempts is the maximum number of instances that may run one try.
	MaxAttempts int
	// AllowedRegions are the regions in which configurations allow the request to run; empty for all.
	AllowedRegions []string
	// MaxRetries is the maximum number of tries after the first.
	MaxRetries int
	// APIKey is the key that the request presents, empty for none. AllowedAccounts are the account names
	// that the instance may receive; nil disables the check.
	APIKey          string
	AllowedAccounts []string
}

// Target is a machine that clients send requests from.
type Target struct {
	// Address returns the address at which the machine's daemon accepts calls; empty while no daemon
	// runs.
	Address func() string
	// Service returns the service of the machine.
	Service func() string
}

// Outcome is the final result of a request.
type Outcome int

// The outcomes of a request.
const (
	Served Outcome = iota
	Refused
	Failed
)

// Tally counts outcomes and measures latency. It is safe for concurrent use.
type Tally struct {
	Served, Refused, Failed atomic.Int64

	// mutex protects latency, which is in microseconds.
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

// Latency returns the given percentile, 0 to 100, of the latency of served requests.
func (t *Tally) Latency(percentile float64) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Duration(t.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// Load generates requests against a set of targets.
type Load struct {
	Classes []Class
	// Bursts are groups of pipelined requests.
	Bursts []Burst
	// PersistentCallers are callers with persistent connections.
	PersistentCallers []PersistentCallers
	Targets           []Target
	// Ledger records the requests and answers, which are checked for breaches of the guarantees.
	Ledger *promise.Ledger
	Tally  *Tally
	Seed   uint64
}

// lastRequestID is the number in the newest request id. It makes ids unique within the process.
var lastRequestID atomic.Uint64

// Run sends requests until ctx ends, then waits for the pending ones.
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
	for index, kept := range l.PersistentCallers {
		for number := range kept.Connections * len(l.Targets) {
			random := rand.New(rand.NewPCG(l.Seed, uint64(index+1)<<32|uint64(number)))
			running.Go(func() { l.runPersistentCaller(ctx, kept, l.Targets[number%len(l.Targets)], random) })
		}
	}
	running.Wait()
}

func (l *Load) send(ctx context.Context, class Class, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var running sync.WaitGroup
	defer running.Wait()
	for sleep.For(ctx, time.Duration(random.ExpFloat64()/class.RequestsPerSecond*float64(time.Second))) {
		target := l.Targets[random.IntN(len(l.Targets))]
		body := make([]byte, class.BodyBytes)
		for index := range body {
			body[index] = byte(random.Uint32())
		}
		running.Go(func() { l.request(class, target, transport, body) })
	}
}

// request sends one request and its retries, and counts the outcome.
func (l *Load) request(class Class, target Target, transport *http.Transport, body []byte) {
	started := time.Now()
	deadline := started.Add(class.Deadline)
	outcome := Failed
	for try := range class.MaxRetries + 1 {
		var wait time.Duration
		var retry bool
		outcome, wait, retry = l.attempt(class, target, transport, body, deadline, try > 0)
		remaining := time.Until(deadline)
		if outcome == Served || !retry || remaining <= 0 {
			break
		}
		time.Sleep(min(wait, remaining/3))
	}
	l.Tally.add(outcome, time.Since(started))
}

// attempt makes one try of a request. It returns the outcome, the time to wait before a retry, and
// whether a retry is allowed.
func (l *Load) attempt(class Class, target Target, transport *http.Transport, body []byte, deadline time.Time, newConnection bool) (Outcome, time.Duration, bool) {
	address := target.Address()
	if address == "" {
		return Failed, 20 * time.Millisecond, true
	}
	timeoutMillis := max(time.Until(deadline).Milliseconds(), 1)
	id := l.record(class, target, address, body, timeoutMillis)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	tracker := &sendTracker{ledger: l.Ledger, id: id}
	request, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), class, "http://"+address, id, body, timeoutMillis)
	if err != nil {
		return Failed, 0, false
	}
	request.Close = newConnection
	response, err := transport.RoundTrip(request)
	if err != nil {
		if ctx.Err() == nil {
			tracker.recordUnanswered(err.Error())
		}
		return Failed, 0, class.Safe
	}
	defer func() { _ = response.Body.Close() }()
	return l.evaluate(class, id, response)
}

// record enters a request into the ledger before it is sent, and returns its id. address is the address
// of the daemon, timeoutMillis the deadline that the request states.
func (l *Load) record(class Class, target Target, address string, body []byte, timeoutMillis int64) string {
	id := "r" + strconv.FormatUint(lastRequestID.Add(1), 36)
	l.Ledger.Sent(promise.Request{
		ID: id, Services: stringSet(class.Services), Safe: class.Safe, BodyDigest: promise.DigestOf(body),
		Caller: target.Service(), SentAt: time.Now(), DaemonAddress: address, Timeout: time.Duration(timeoutMillis) * time.Millisecond, MaxAttempts: class.MaxAttempts, AllowedRegions: class.AllowedRegions,
		APIKey: class.APIKey, AllowedAccounts: accountSet(class.AllowedAccounts),
	})
	return id
}

func newRequest(ctx context.Context, class Class, base, id string, body []byte, timeoutMillis int64) (*http.Request, error) {
	method := http.MethodGet
	if len(body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, base+class.Path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the HTTP library cannot resend a request with a body.
	request.GetBody = nil
	request.Host = class.Host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(timeoutMillis, 10))
	request.Header.Set(instance.HeaderAnswerBytes, strconv.Itoa(class.AnswerBytes))
	if class.APIKey != "" {
		request.Header.Set(platform.HeaderKey, class.APIKey)
	}
	if class.CallPath != "" {
		request.Header.Set(instance.HeaderCall, class.CallPath)
		request.Header.Set(instance.HeaderCall+"-Service", class.CallService)
	}
	return request, nil
}

// evaluate checks an answer and enters it into the ledger. It returns the same values as attempt.
func (l *Load) evaluate(class Class, id string, response *http.Response) (Outcome, time.Duration, bool) {
	stamp := response.Header.Get(platform.HeaderStamp)
	l.Ledger.StatementPassedOn(id, stamp, instance.StatementOf(response.Header), time.Now())
	received, readErr := io.ReadAll(response.Body)
	success := response.StatusCode/100 == 2
	if success && readErr != nil {
		// The client detects a truncated answer, so it counts as failed and breaks no promise.
		return Failed, 0, class.Safe
	}
	complete := stamp != "" && string(received) == instance.Body(stamp, class.AnswerBytes)
	l.Ledger.Answered(promise.Answer{Request: id, Status: response.StatusCode, Stamp: stamp, Complete: complete})
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

// accountSet returns the set of the names, nil for nil, which disables the check of the account.
func accountSet(names []string) map[string]bool {
	if names == nil {
		return nil
	}
	return stringSet(names)
}

func stringSet(names []string) map[string]bool {
	members := make(map[string]bool, len(names))
	for _, name := range names {
		members[name] = true
	}
	return members
}
