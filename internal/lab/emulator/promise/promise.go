// Package promise keeps the ledger of a run on the emulated platform: what clients sent, what
// instances ran, what was answered and acknowledged. From it follow the broken promises.
//
// It owns the ledger, in memory, and is safe for concurrent use. It does no I/O and relies on its
// users to record each event once, with the time at which it happened. A promise is evaluated
// at the end of the run; what the disturbances excuse is part of its rule.
package promise

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Kind names a promise.
type Kind string

// The promises that are checked.
const (
	// Twice: a request that may not be repeated ran more than once.
	Twice Kind = "twice"
	// Refused: a request that was refused as not run has run.
	Refused Kind = "refused"
	// Mixed: a success is not the whole answer of the instance that ran it.
	Mixed Kind = "mixed"
	// Unasked: an instance ran what no client sent, or other content than was sent.
	Unasked Kind = "unasked"
	// Drain: an instance got a request too long after its drain was acknowledged.
	Drain Kind = "drain"
	// Route: a request ran at a service that no configuration allows.
	Route Kind = "route"
	// Config: a request was handled by a version that must no longer be in force.
	Config Kind = "config"
	// Denied: a valid request was answered as an invalid one.
	Denied Kind = "denied"
	// Budget: instances got more repeats or more time than is allowed.
	Budget Kind = "budget"
	// Failback: an instance in slow start got more in a second than its limit.
	Failback Kind = "failback"
	// Evacuation: an instance of an evacuated zone got a request too long after the
	// order was acknowledged.
	Evacuation Kind = "evacuation"
	// Home: a request reached an instance outside the regions of its route.
	Home Kind = "home"
	// Lost: a request that a daemon had taken ended without its answer.
	Lost Kind = "lost"
)

// Breach is one broken promise.
type Breach struct {
	Kind    Kind
	Request string
	Detail  string
}

// Request is what a client sent.
type Request struct {
	ID string
	// Services are those that configurations allow it to run at.
	Services map[string]bool
	Safe     bool
	// BodyDigest is that of the body, empty for none.
	BodyDigest string
	// Caller is the service of the machine where it starts.
	Caller string
	SentAt time.Time
	// Wait is how long the client says that it waits; 0 where that is not checked.
	Wait time.Duration
	// Daemon is the address that it was sent to; empty where that is not checked.
	Daemon string
	// Attempts bounds the instances that may run it; 0 where that is not checked.
	Attempts int
	// Regions are those in which its route allows it to run; empty for all.
	Regions []string
	// Key is the API key that it presents, empty for none. Accounts are those that have had the key;
	// nil where that is not checked.
	Key      string
	Accounts map[string]bool
}

// DigestOf returns the digest of a body, empty for none.
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
	// Given is the deadline that the request stated to the instance; 0 for none.
	Given time.Duration
	// Account is the one that the instance was told, Head the fields of the request's head.
	Account string
	Head    http.Header
}

// Answer is what a client got.
type Answer struct {
	Request string
	Status  int
	Stamp   string
	// Whole is true when the body was received to its end and is the one that belongs to Stamp.
	Whole bool
	// NotRead is true for a request without an answer that stood behind one that
	// closed its connection.
	NotRead bool
}

// Ledger records a run and its breaches. It is safe for concurrent use.
type Ledger struct {
	bounds Bounds

	// mutex protects everything below.
	mutex    sync.Mutex
	requests map[string]Request
	runs     map[string][]Run
	answers  map[string]Answer
	arrivals map[string]int
	// left gives the time when an instance's drain was acknowledged.
	left map[string]time.Time
	// evacuated gives the time when a zone's evacuation was acknowledged.
	evacuated map[string]time.Time
	// storeLost counts what keeps the daemons from hearing of orders, and inTouch
	// is when they must have heard of all that was given meanwhile.
	storeLost int
	inTouch   time.Time
	// cold counts what cold instances got.
	cold map[string]*Second
	// poison is by the name of a poison request, and disturbedAt when daemons were last disturbed.
	poison      map[string]*poison
	disturbedAt time.Time
	// killed are the times at which daemons ended without a planned stop, failedRuns the stamps
	// of runs that an instance did not answer as it should, ended the instances that are gone.
	killed []time.Time
	// stops are the times at which planned stops began, by the daemon's address for callers.
	stops      map[string][]time.Time
	failedRuns map[string]bool
	ended      map[string]bool
	// revoked gives the time when the revocation of an API key was acknowledged.
	revoked map[string]time.Time
	// excused counts requests that ended without their answer, by their excuse.
	excused  map[string]int
	breaches []Breach
}

// Bounds are a platform's bounds.
type Bounds struct {
	// Drain is the time after which a draining instance gets nothing.
	Drain time.Duration
	// Evacuation is the time after which the instances of an evacuated zone get
	// nothing; 0 where that is not checked.
	Evacuation time.Duration
	// ColdPerSecond is the most requests that a cold instance gets in any second; 0
	// where that is not checked.
	ColdPerSecond float64
	// Apply is the time after which a revoked API key serves nobody; 0 where that is not checked.
	Apply time.Duration
	// Contact is the time in which all daemons know what one of them does.
	Contact time.Duration
	// LossSlack is how long after its last byte a request may still cross the end of its
	// connection; 0 where lost requests are not checked.
	LossSlack time.Duration
	// Grace is the time that a planned stop may take.
	Grace time.Duration
}

// NewLedger returns a ledger for a platform with the given bounds.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{
		bounds: bounds, requests: map[string]Request{}, runs: map[string][]Run{},
		answers: map[string]Answer{}, arrivals: map[string]int{}, left: map[string]time.Time{},
		evacuated: map[string]time.Time{}, cold: map[string]*Second{}, poison: map[string]*poison{},
		failedRuns: map[string]bool{}, ended: map[string]bool{}, stops: map[string][]time.Time{}, revoked: map[string]time.Time{}, excused: map[string]int{},
	}
}

// Sent records a request before it is sent.
func (l *Ledger) Sent(request Request) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests[request.ID] = request
}

// Arrived records that an instance received a request, also one that it refuses.
func (l *Ledger) Arrived(request string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals[request]++
}

// Repeats returns the arrivals after the first of each request.
func (l *Ledger) Repeats() (requests, repeats int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, count := range l.arrivals {
		repeats += count - 1
	}
	return len(l.requests), repeats
}

// DrainAcknowledged records that a daemon acknowledged that an instance drains.
func (l *Ledger) DrainAcknowledged(instance string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, before := l.left[instance]; !before {
		l.left[instance] = time.Now()
	}
}

// Ran records that an instance began to work on a request, and checks what can be checked then.
func (l *Ledger) Ran(run Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	request, sent := l.requests[run.Request]
	switch {
	case !sent:
		l.note(Unasked, run.Request, "no client sent it")
	case run.BodyDigest != request.BodyDigest:
		l.note(Unasked, run.Request, "the body was changed")
	case run.Caller != request.Caller:
		l.note(Unasked, run.Request, fmt.Sprintf("the caller's service is %q, not %q", run.Caller, request.Caller))
	case !request.Services[run.Service]:
		l.note(Route, run.Request, "ran at "+run.Service)
	}
	if sent {
		l.checkBudget(request, run)
		l.checkAccount(request, run)
	}
	if sent && !request.Safe && len(l.runs[run.Request]) > 0 {
		l.note(Twice, run.Request, "ran at "+l.runs[run.Request][0].Instance+" and at "+run.Instance)
	}
	if at, leaving := l.left[run.Instance]; leaving && run.At.Sub(at) > l.bounds.Drain {
		l.note(Drain, run.Request, fmt.Sprintf("%s got it %s after its leaving was acknowledged", run.Instance, run.At.Sub(at)))
	}
	l.runs[run.Request] = append(l.runs[run.Request], run)
	if answer, over := l.answers[run.Request]; over {
		l.checkRefusal(answer)
	}
}

// timeRounding is what whole milliseconds may add to a time that is handed on.
const timeRounding = time.Millisecond

// checkBudget checks the instances and the time that a request takes. Times are
// compared as they were stated, not by the clock, so that a slow machine does
// not matter: no instance may have more than the client waits. The caller holds mutex.
func (l *Ledger) checkBudget(request Request, run Run) {
	if request.Wait > 0 && (run.Given == 0 || run.Given > request.Wait+timeRounding) {
		l.note(Budget, run.Request, fmt.Sprintf("%s was given %s of %s", run.Instance, run.Given, request.Wait))
	}
	instances := map[string]bool{run.Instance: true}
	for _, earlier := range l.runs[run.Request] {
		instances[earlier.Instance] = true
	}
	if request.Attempts > 0 && len(instances) > request.Attempts {
		l.note(Budget, run.Request, fmt.Sprintf("ran at %d instances of %d", len(instances), request.Attempts))
	}
}

// Answered records a client's answer.
func (l *Ledger) Answered(answer Answer) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers[answer.Request] = answer
	l.checkRefusal(answer)
	l.checkOwnFailure(answer, time.Now())
	success := answer.Status/100 == 2
	if !success {
		if answer.Stamp == "" && answer.Status/100 == 4 && !notRun(answer.Status) && !l.mayBeUnauthorized(answer) {
			l.note(Denied, answer.Request, fmt.Sprintf("answered %d", answer.Status))
		}
		return
	}
	if !answer.Whole {
		l.note(Mixed, answer.Request, "a success is not whole")
		return
	}
	for _, run := range l.runs[answer.Request] {
		if run.Stamp == answer.Stamp {
			return
		}
	}
	l.note(Mixed, answer.Request, "a success has the stamp of no run of it")
}

// Record adds a breach that the caller found.
func (l *Ledger) Record(kind Kind, request, detail string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.note(kind, request, detail)
}

// checkRefusal checks that a refused request did not run; the caller holds mutex.
func (l *Ledger) checkRefusal(answer Answer) {
	promised := answer.NotRead || (answer.Stamp == "" && notRun(answer.Status))
	if promised && !l.requests[answer.Request].Safe && len(l.runs[answer.Request]) > 0 {
		l.note(Refused, answer.Request, fmt.Sprintf("answered %d (not read: %t) and ran at %s", answer.Status, answer.NotRead, l.runs[answer.Request][0].Instance))
	}
}

// notRun reports whether a status promises that the request did not run.
func notRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

func (l *Ledger) note(kind Kind, request, detail string) {
	l.breaches = append(l.breaches, Breach{Kind: kind, Request: request, Detail: detail})
}

func (l *Ledger) Breaches() []Breach {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Breach(nil), l.breaches...)
}
