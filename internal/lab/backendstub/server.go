// Package backendstub is a stand-in for a back end: a server with slots, a connection limit, a cost
// for each new connection, a cold start, shedding, cancellation, and faults that can be changed
// while it runs. A ledger shared by all stand-ins records every execution of every call, so that
// tests detect a call that ran twice.
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
	// HeaderAnswerBytes is the requested size of the answer in bytes.
	HeaderAnswerBytes = "Lab-Answer-Bytes"
	// HeaderInstance names the answering instance.
	HeaderInstance = "Lab-Instance"
	// HeaderBodyDigest is the SHA-256 of the request body.
	HeaderBodyDigest = "Lab-Body-Sha256"
)

// Behaviour holds the settings that can be changed while the stand-in runs.
type Behaviour struct {
	// ServiceTime is how long a call holds its slot.
	ServiceTime time.Duration
	// ResetBeforePercent is the percentage of calls whose connection is closed
	// before they run, ResetAfterPercent after they ran, and TruncatePercent in
	// the middle of the answer.
	ResetBeforePercent, ResetAfterPercent, TruncatePercent int
	// ShedAbove is the number of calls above which further calls are refused as
	// not run; 0 for no limit.
	ShedAbove int
	// Draining refuses new calls as not run; running calls continue.
	Draining bool
}

// Options configure a Server.
type Options struct {
	Address  string
	Instance string
	Slots    int
	// ConnectionLimit is the maximum number of open connections; 0 for no limit.
	ConnectionLimit int
	// ConnectionCost is the time that accepting a connection takes.
	ConnectionCost time.Duration
	// ColdStart is the time after the start during which calls take ColdFactor
	// times as long.
	ColdStart  time.Duration
	ColdFactor int
	Behaviour  Behaviour
	Ledger     *Ledger
	Seed       uint64
}

// Server is the stand-in for a back end. Create it with Start and end it with Close.
type Server struct {
	options  Options
	listener net.Listener
	http     *http.Server
	slots    chan struct{}
	started  time.Time
	// Connections counts accepted connections.
	Connections     atomic.Int64
	openConnections atomic.Int64
	running         atomic.Int64
	peakRunning     atomic.Int64

	mutex     sync.Mutex
	behaviour Behaviour
	random    *rand.Rand
}

// Start opens the listener and serves calls in the background.
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

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(behaviour Behaviour) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.behaviour = behaviour
}

// PeakRunning returns the maximum number of calls that ran at once.
func (s *Server) PeakRunning() int64 { return s.peakRunning.Load() }

// faultPlan holds the behaviour and the faults of one call, drawn before it runs.
type faultPlan struct {
	behaviour                         Behaviour
	resetBefore, resetAfter, truncate bool
}

func (s *Server) planFaults() faultPlan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	percent := func(bound int) bool { return s.random.IntN(100) < bound }
	return faultPlan{
		behaviour: s.behaviour, resetBefore: percent(s.behaviour.ResetBeforePercent),
		resetAfter: percent(s.behaviour.ResetAfterPercent), truncate: percent(s.behaviour.TruncatePercent),
	}
}

// serveCall runs one call: it waits for a slot, takes the service time, and
// answers with the call's name, the instance's name and the digest of the body.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	planned := s.planFaults()
	if planned.resetBefore {
		panic(http.ErrAbortHandler)
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.peakRunning.Load(); running > peak && !s.peakRunning.CompareAndSwap(peak, running); {
		peak = s.peakRunning.Load()
	}
	shedAbove := planned.behaviour.ShedAbove
	if planned.behaviour.Draining || (shedAbove > 0 && running > int64(shedAbove)) {
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
	s.options.Ledger.recordRun(r.Header.Get(HeaderCall), s.options.Instance)
	digest, err := s.work(r, planned)
	if err != nil {
		s.options.Ledger.recordCancel()
		http.Error(w, "the caller's time is over", http.StatusGatewayTimeout)
		return
	}
	if planned.resetAfter {
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, planned, digest)
}

// withDeadline bounds a call by the remaining time in its deadline header.
func withDeadline(r *http.Request) (bounded *http.Request, stop context.CancelFunc) {
	remaining, err := strconv.ParseInt(r.Header.Get(callapi.HeaderDeadline), 10, 64)
	if err != nil {
		return r, func() {}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
	return r.WithContext(ctx), cancel
}

// work reads the body, sleeps for the service time and returns the digest of the body.
func (s *Server) work(r *http.Request, planned faultPlan) (digest string, err error) {
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

// answer writes a line that names the call, padded with zero bytes to the requested size.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, planned faultPlan, digest string) {
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
		if limit > 0 && l.server.openConnections.Load() >= limit {
			_ = conn.Close()
			continue
		}
		l.server.openConnections.Add(1)
		l.server.Connections.Add(1)
		time.Sleep(l.server.options.ConnectionCost)
		return &countedConn{Conn: conn, open: &l.server.openConnections}, nil
	}
}

// countedConn decrements the number of open connections when it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
