// Package backendstub is a stand-in for a back end: a server with slots, a connection limit, a cost
// for each new connection, a cold start, shedding, cancellation, and faults that can be switched on
// while it runs. A ledger shared by all stand-ins records every execution of every call, so that
// tests find a call that ran twice.
package backendstub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Names of header fields between the lab's callers and back ends.
const (
	// HeaderCall names the call in the ledger.
	HeaderCall = "Lab-Call"
	// HeaderWork overrides the service time, in microseconds.
	HeaderWork = "Lab-Work-Us"
	// HeaderAnswerBytes asks for an answer of that size.
	HeaderAnswerBytes = "Lab-Answer-Bytes"
	// HeaderInstance names the answering instance.
	HeaderInstance = "Lab-Instance"
	// HeaderBodyDigest is the SHA-256 of the request body.
	HeaderBodyDigest = "Lab-Body-Sha256"
)

// Behaviour is what can be changed while the stand-in runs.
type Behaviour struct {
	// ServiceTime is how long a call takes while it holds a slot.
	ServiceTime time.Duration
	// ResetBeforePercent of the calls lose their connection before they run,
	// ResetAfterPercent after they ran, TruncatePercent within the answer.
	ResetBeforePercent, ResetAfterPercent, TruncatePercent int
	// ShedAbove refuses calls while more than so many run; 0 for never. A
	// refusal states that the call did not run.
	ShedAbove int
	// Draining refuses new calls, stating that they did not run; those that run
	// go on.
	Draining bool
}

// Options configure a Server.
type Options struct {
	Address  string
	Instance string
	Slots    int
	// ConnectionLimit refuses further connections; 0 for none.
	ConnectionLimit int
	// ConnectionCost is the time that accepting a connection takes.
	ConnectionCost time.Duration
	// ColdStart is the time after the start in which calls take ColdFactor
	// times as long.
	ColdStart  time.Duration
	ColdFactor int
	Behaviour  Behaviour
	Ledger     *Ledger
	Seed       uint64
}

// Server is the stand-in.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	slots    chan struct{}
	started  time.Time
	// Connections counts accepted connections.
	Connections atomic.Int64
	open        atomic.Int64
	running     atomic.Int64
	peakRunning atomic.Int64

	mutex     sync.Mutex
	behaviour Behaviour
	random    *rand.Rand
}

// Start opens the listener and serves in the background.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadAddress, err, "listening on %s", options.Address)
	}
	if options.Ledger == nil {
		options.Ledger = &Ledger{}
	}
	server := &Server{
		options: options, started: time.Now(), slots: make(chan struct{}, max(options.Slots, 1)),
		behaviour: options.Behaviour, random: rand.New(rand.NewPCG(options.Seed, 2)),
	}
	server.listener = &limitedListener{Listener: listener, server: server}
	server.http = &http.Server{Handler: http.HandlerFunc(server.serveCall), ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = server.http.Serve(server.listener) }()
	return server, nil
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and cuts its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(behaviour Behaviour) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = behaviour
}

// PeakRunning returns the most calls that ran at once.
func (s *Server) PeakRunning() int64 { return s.peakRunning.Load() }

// plan is the faults of one call, drawn once.
type plan struct {
	behaviour                         Behaviour
	resetBefore, resetAfter, truncate bool
}

func (s *Server) draw() plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	percent := func(bound int) bool { return s.random.IntN(100) < bound }
	return plan{
		behaviour: s.behaviour, resetBefore: percent(s.behaviour.ResetBeforePercent),
		resetAfter: percent(s.behaviour.ResetAfterPercent), truncate: percent(s.behaviour.TruncatePercent),
	}
}

// serveCall runs one call: it waits for a slot, works, and answers with the
// call's name, its own name and the digest of what it received.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	planned := s.draw()
	if planned.resetBefore {
		panic(http.ErrAbortHandler)
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.peakRunning.Load(); running > peak && !s.peakRunning.CompareAndSwap(peak, running); {
		peak = s.peakRunning.Load()
	}
	above := planned.behaviour.ShedAbove
	if planned.behaviour.Draining || (above > 0 && running > int64(above)) {
		w.Header().Set(callapi.HeaderNotRun, "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	r, stop := withDeadline(r)
	defer stop()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.options.Ledger.run(r.Header.Get(HeaderCall), s.options.Instance)
	digest, err := s.work(r, planned)
	if err != nil {
		s.options.Ledger.cancel()
		http.Error(w, "the caller's time is over", http.StatusGatewayTimeout)
		return
	}
	if planned.resetAfter {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, planned, digest)
}

// withDeadline bounds a call by the time that its caller has left.
func withDeadline(r *http.Request) (bounded *http.Request, stop context.CancelFunc) {
	remaining, err := strconv.ParseInt(r.Header.Get(callapi.HeaderDeadline), 10, 64)
	if err != nil {
		return r, func() {}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
	return r.WithContext(ctx), cancel
}

// work reads the body and takes the service time.
func (s *Server) work(r *http.Request, planned plan) (digest string, err error) {
	hasher := sha256.New()
	if _, err := io.Copy(hasher, r.Body); err != nil {
		return "", err
	}
	duration := planned.behaviour.ServiceTime
	if micros, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		duration = time.Duration(micros) * time.Microsecond
	}
	if s.options.ColdFactor > 1 && time.Since(s.started) < s.options.ColdStart {
		duration *= time.Duration(s.options.ColdFactor)
	}
	if !sleep.For(r.Context(), duration) {
		return "", r.Context().Err()
	}
	return hex.EncodeToString(hasher.Sum(nil)), nil
}

// answer writes a first line that names the call, padded to the size that the call asks for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, planned plan, digest string) {
	line := fmt.Sprintf("call=%s instance=%s body=%s\n", r.Header.Get(HeaderCall), s.options.Instance, digest)
	w.Header().Set(HeaderInstance, s.options.Instance)
	w.Header().Set(HeaderBodyDigest, digest)
	size, _ := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	total := max(size, len(line))
	if planned.truncate {
		w.Header().Set("Content-Length", strconv.Itoa(total+1))
		_, _ = io.WriteString(w, line)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(total))
	_, _ = io.WriteString(w, line)
	filler := make([]byte, 32<<10)
	for written := len(line); written < total; {
		count, err := w.Write(filler[:min(len(filler), total-written)])
		if err != nil {
			return
		}
		written += count
	}
}

// limitedListener applies the connection limit and cost.
type limitedListener struct {
	net.Listener
	server *Server
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		limit := int64(l.server.options.ConnectionLimit)
		if limit > 0 && l.server.open.Load() >= limit {
			_ = conn.Close()
			continue
		}
		l.server.open.Add(1)
		l.server.Connections.Add(1)
		time.Sleep(l.server.options.ConnectionCost)
		return &countedConn{Conn: conn, open: &l.server.open}, nil
	}
}

// countedConn counts itself out when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
