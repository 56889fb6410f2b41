// Package promise checks the guarantees that the system gives its callers, called promises. It keeps a
// ledger of a run on the emulated platform: the requests that clients sent, the runs at instances, the
// answers and the acknowledgements. Each violation of a promise is recorded as a breach.
//
// The ledger is kept in memory and is safe for concurrent use. The package does no I/O and relies on
// its users to record each event once, with the time at which it happened. A promise's rule includes
// the exceptions that injected faults allow.
package promise

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kind is the name of a promise.
type Kind string

// The checked promises, each with its violation.
const (
	// Twice: a request that must not be repeated ran more than once.
	Twice Kind = "twice"
	// Refused: a request that was refused with the statement that it did not run has run.
	Refused Kind = "refused"
	// Mixed: a successful answer is not the complete answer of an instance that ran the request.
	Mixed Kind = "mixed"
	// Unasked: an instance ran a request that no client sent, or one with changed content.
	Unasked Kind = "unasked"
	// Drain: an instance received a request too long after its drain was acknowledged, or after the
	// daemon of the request had passed on that the instance leaves.
	Drain Kind = "drain"
	// Route: a request ran at a service that no configuration allows for it.
	Route Kind = "route"
	// Config: a request was handled under a configuration version that must no longer be in force.
	Config Kind = "config"
	// Denied: a valid request was answered as an invalid one.
	Denied Kind = "denied"
	// Budget: instances received more repeats or a longer deadline than is allowed.
	Budget Kind = "budget"
	// Failback: an instance in slow start received more requests in a second than its limit.
	Failback Kind = "failback"
	// Evacuation: an instance of an evacuated zone received a request too long after the order was
	// acknowledged.
	Evacuation Kind = "evacuation"
	// Home: a request reached an instance outside the regions of its route.
	Home Kind = "home"
	// Limit: an instance received more requests than the rate that it had stated allows.
	Limit Kind = "limit"
	// Lost: a request that a daemon had accepted ended without its answer.
	Lost Kind = "lost"
)

// Breach is one violation of a promise.
type Breach struct {
	Kind    Kind
	Request string
	Detail  string
}

// Request is a request that a client sent, with the rules that apply to it.
type Request struct {
	ID string
	// Services are the services that configurations allow the request to run at.
	Services map[string]bool
	Safe     bool
	// BodyDigest is the digest of the body, empty for no body.
	BodyDigest string
	// Caller is the service of the machine from which the request is sent.
	Caller string
	SentAt time.Time
	// Timeout is the deadline that the request states, as time left; 0 disables the check.
	Timeout time.Duration
	// DaemonAddress is the address of the daemon that the request was sent to; empty if unknown.
	DaemonAddress string
	// MaxAttempts bounds the number of instances that run the request; 0 disables the check.
	MaxAttempts int
	// AllowedRegions are the regions in which the route allows the request to run; empty for all.
	AllowedRegions []string
	// APIKey is the key that the request presents, empty for none. AllowedAccounts are the accounts that
	// have owned the key; nil disables the check.
	APIKey          string
	AllowedAccounts map[string]bool
}

// DigestOf returns the SHA-256 digest of a body in hexadecimal, empty for an empty body.
func DigestOf(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Run is one run of a request at an instance.
type Run struct {
	Request    string
	Instance   string
	Service    string
	BodyDigest string
	Caller     string
	Stamp      string
	At         time.Time
	// Timeout is the deadline that the instance received with the request, as time left; 0 for none.
	Timeout time.Duration
	// Account is the account name that the instance received, Header the header of the request.
	Account string
	Header  http.Header
}

// Answer is the outcome of a request at the client.
type Answer struct {
	Request string
	Status  int
	Stamp   string
	// Complete is true when the whole body was received and is the one that belongs to Stamp.
	Complete bool
	// NotRead is true for a pipelined request without an answer that followed a request whose answer
	// closed the connection.
	NotRead bool
}

// Ledger records the events of a run and the breaches that follow from them. It is safe for concurrent
// use.
type Ledger struct {
	bounds Bounds

	// mutex protects everything below.
	mutex    sync.Mutex
	requests map[string]Request
	runs     map[string][]Run
	answers  map[string]Answer
	arrivals map[string]int
	// drainAckedAt is the time at which the drain was acknowledged, by instance.
	drainAckedAt map[string]time.Time
	// evacuatedAt is the time at which the evacuation was acknowledged, by zone.
	evacuatedAt map[string]time.Time
	// storeOutages counts the current outages that keep daemons from receiving orders. syncedBy is the
	// time by which daemons must have received the orders of the last outage.
	storeOutages int
	syncedBy     time.Time
	// coldDeliveries counts the recent deliveries to cold instances, by instance.
	coldDeliveries map[string]*RateWindow
	// statedInstances are the instances that have stated something about themselves, by name.
	statedInstances map[string]*statedInstance
	// interruptedAt is when a daemon, by its address for callers, last ended or stood still.
	interruptedAt map[string]time.Time
	// poisonRequests are the poison requests by name. disturbedAt is the end of the last disturbance of
	// daemons.
	poisonRequests map[string]*poisonRequest
	disturbedAt    time.Time
	// killTimes are the times at which daemons ended without a planned stop.
	killTimes []time.Time
	// stopTimes are the times at which planned stops began, by the daemon's address for callers.
	stopTimes map[string][]time.Time
	// failedRuns are the stamps of the runs that an instance did not answer correctly, endedInstances
	// the instances that have ended.
	failedRuns     map[string]bool
	endedInstances map[string]bool
	// revokedAt is the time at which the revocation was acknowledged, by API key.
	revokedAt map[string]time.Time
	// excused counts the requests that were allowed to end without their answer, by reason.
	excused  map[string]int
	breaches []Breach
}

// Bounds are the limits that the promises state. A zero value disables the check where that is noted.
type Bounds struct {
	// DrainDelay is the time after which a draining instance receives no more requests.
	DrainDelay time.Duration
	// EvacuationDelay is the time after which the instances of an evacuated zone receive no more
	// requests; 0 disables the check.
	EvacuationDelay time.Duration
	// MaxColdPerSecond is the maximum number of requests that a cold instance receives in any second; 0
	// disables the check.
	MaxColdPerSecond float64
	// RevocationDelay is the time after which a revoked API key is rejected; 0 disables the check.
	RevocationDelay time.Duration
	// PropagationDelay is the time after which all daemons know what one of them knows.
	PropagationDelay time.Duration
	// LossSlack is the maximum time between the last byte of a request and the close of its connection
	// for which the daemon need not have read the request; 0 disables the check of gateway errors.
	LossSlack time.Duration
	// GracePeriod is the time that a planned stop may take.
	GracePeriod time.Duration
}

// NewLedger returns an empty ledger that checks promises against the given bounds.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds: bounds, requests: map[string]Request{}, runs: map[string][]Run{},
		answers: map[string]Answer{}, arrivals: map[string]int{}, drainAckedAt: map[string]time.Time{},
		evacuatedAt: map[string]time.Time{}, coldDeliveries: map[string]*RateWindow{}, poisonRequests: map[string]*poisonRequest{},
		statedInstances: map[string]*statedInstance{}, interruptedAt: map[string]time.Time{}, failedRuns: map[string]bool{}, endedInstances: map[string]bool{}, stopTimes: map[string][]time.Time{}, revokedAt: map[string]time.Time{}, excused: map[string]int{},
	}
}

// Sent records a request. It must be called before the request is sent.
func (l *Ledger) Sent(request Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[request.ID] = request
}

// Arrived records that an instance received a request, including one that it refuses.
func (l *Ledger) Arrived(request string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals[request]++
}

// Repeats returns the number of requests, and the number of arrivals beyond the first of each request.
func (l *Ledger) Repeats() (requests, repeats int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, count := range l.arrivals {
		repeats += count - 1
	}
	return len(l.requests), repeats
}

// DrainAcknowledged records that a daemon acknowledged the drain of an instance.
func (l *Ledger) DrainAcknowledged(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, before := l.drainAckedAt[instance]; !before {
		l.drainAckedAt[instance] = time.Now()
	}
}

// Ran records that an instance began to work on a request, and checks the promises that a run can
// break.
func (l *Ledger) Ran(run Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	request, sent := l.requests[run.Request]
	switch {
	case !sent:
		l.addBreach(Unasked, run.Request, "no client sent it")
	case run.BodyDigest != request.BodyDigest:
		l.addBreach(Unasked, run.Request, "the body does not match the one that was sent")
	case run.Caller != request.Caller:
		l.addBreach(Unasked, run.Request, fmt.Sprintf("caller service is %q, want %q", run.Caller, request.Caller))
	case !request.Services[run.Service]:
		l.addBreach(Route, run.Request, "ran at service "+run.Service)
	}
	if sent {
		l.checkBudget(request, run)
		l.checkAccount(request, run)
	}
	if sent && !request.Safe && len(l.runs[run.Request]) > 0 {
		l.addBreach(Twice, run.Request, "ran at "+l.runs[run.Request][0].Instance+" and at "+run.Instance)
	}
	if at, leaving := l.drainAckedAt[run.Instance]; leaving && run.At.Sub(at) > l.bounds.DrainDelay {
		l.addBreach(Drain, run.Request, fmt.Sprintf("%s received the request %s after its drain was acknowledged", run.Instance, run.At.Sub(at)))
	}
	l.runs[run.Request] = append(l.runs[run.Request], run)
	if answer, over := l.answers[run.Request]; over {
		l.checkRefusal(answer)
	}
}

// deadlineRounding is the maximum error of a deadline that is forwarded in whole milliseconds.
const deadlineRounding = time.Millisecond

// checkBudget checks the number of instances that run a request and the deadline that they receive: no
// instance may get more time than the client waits. It compares the stated deadlines instead of
// measured times, so that a slow machine does not change the result. The caller holds mutex.
func (l *Ledger) checkBudget(request Request, run Run) {
	if request.Timeout > 0 && (run.Timeout == 0 || run.Timeout > request.Timeout+deadlineRounding) {
		l.addBreach(Budget, run.Request, fmt.Sprintf("%s received a deadline of %s, client deadline %s", run.Instance, run.Timeout, request.Timeout))
	}
	instances := map[string]bool{run.Instance: true}
	for _, earlier := range l.runs[run.Request] {
		instances[earlier.Instance] = true
	}
	if request.MaxAttempts > 0 && len(instances) > request.MaxAttempts {
		l.addBreach(Budget, run.Request, fmt.Sprintf("ran at %d instances, limit %d", len(instances), request.MaxAttempts))
	}
}

// Answered records the answer that a client received and checks it.
func (l *Ledger) Answered(answer Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[answer.Request] = answer
	l.checkRefusal(answer)
	l.checkGatewayError(answer, time.Now())
	success := answer.Status/100 == 2
	if !success {
		if answer.Stamp == "" && answer.Status/100 == 4 && !notRun(answer.Status) && !l.mayBeUnauthorized(answer) {
			l.addBreach(Denied, answer.Request, fmt.Sprintf("answered %d", answer.Status))
		}
		return
	}
	if !answer.Complete {
		l.addBreach(Mixed, answer.Request, "a successful answer is incomplete")
		return
	}
	for _, run := range l.runs[answer.Request] {
		if run.Stamp == answer.Stamp {
			return
		}
	}
	l.addBreach(Mixed, answer.Request, "the stamp of a successful answer matches no run of the request")
}

// ServiceOf returns the service at which the run of a request with a stamp took place, empty if there is none.
func (l *Ledger) ServiceOf(request, stamp string) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, run := range l.runs[request] {
		if run.Stamp == stamp {
			return run.Service
		}
	}
	return ""
}

// Record adds a breach that the caller detected.
func (l *Ledger) Record(kind Kind, request, detail string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.addBreach(kind, request, detail)
}

// checkRefusal checks that an unsafe request that was reported as not run did not run. The caller
// holds mutex.
func (l *Ledger) checkRefusal(answer Answer) {
	claimedNotRun := answer.NotRead || (answer.Stamp == "" && notRun(answer.Status))
	if claimedNotRun && !l.requests[answer.Request].Safe && len(l.runs[answer.Request]) > 0 {
		l.addBreach(Refused, answer.Request, fmt.Sprintf("answered %d (not read: %t) and ran at %s", answer.Status, answer.NotRead, l.runs[answer.Request][0].Instance))
	}
}

// notRun reports whether a status from a daemon guarantees that the request did not run.
func notRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (l *Ledger) addBreach(kind Kind, request, detail string) {
	l.breaches = append(l.breaches, Breach{Kind: kind, Request: request, Detail: detail})
}

func (l *Ledger) Breaches() []Breach {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Breach(nil), l.breaches...)
}
