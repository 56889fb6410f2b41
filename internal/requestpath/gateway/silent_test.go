package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// silenceDuration is the time for which a peer in these tests sends nothing. It is longer than twice the
// time to detect a silence, and shorter than the time after which a connection is closed.
const silenceDuration = 1700 * time.Millisecond

// arrival is the treatment of a call that arrives at a peer.
type arrival int

const (
	// arrivesSilent: the peer sends nothing for silenceDuration, and then the instance's answer.
	arrivesSilent arrival = iota
	arrivesFull
	arrivesAnswered
	// arrivesUnanswered: the instance works until the call's context at its daemon ends.
	arrivesUnanswered
	// arrivesSilentFull and arrivesSilentBroken: the peer sends nothing for silenceDuration. Then it refuses
	// the call, or says that its outcome is unknown.
	arrivesSilentFull
	arrivesSilentBroken
)

// silentPeers are the daemons beside the instances of a test. Calls are treated in the order of arrivals,
// whichever peer receives them.
type silentPeers struct {
	arrivals []arrival
	arrived  atomic.Int64
	// working counts the instances that are working on a call.
	working atomic.Int64
}

// Dial implements wire.Network. Each connection leads to a new peer.
func (p *silentPeers) Dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	peer := &silentPeer{Conn: far, peers: p, sending: make(chan struct{}, 1)}
	conn := wire.NewConn(peer, nil)
	server := &callmux.Server{Origin: peer, Timing: quietTiming}
	go func() {
		if conn.ReadPreface() == nil && conn.Receive(&lapisv1.ControlFrame{}) == nil {
			_ = server.Serve(context.WithoutCancel(ctx), conn, &lapisv1.Hello{})
		}
	}()
	return near, nil
}

// client returns a client that detects silent peers as a daemon does, until the test ends.
func (p *silentPeers) client(t *testing.T) *callmux.Client {
	client := &callmux.Client{Network: p, Hello: &lapisv1.Hello{}, Timing: quietTiming}
	watching, stopWatching := context.WithCancel(context.Background())
	go client.WatchStalls(watching, callmux.Stall{
		CheckInterval: 100 * time.Millisecond, PingAfter: 250 * time.Millisecond, PingTimeout: 400 * time.Millisecond, Changed: func(string, bool) {},
	})
	t.Cleanup(func() {
		stopWatching()
		client.Close()
		time.Sleep(2 * silenceDuration)
	})
	return client
}

// Listen implements wire.Network.
func (p *silentPeers) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

// silentPeer is one daemon, and the connection on which it sends nothing while it is silent.
type silentPeer struct {
	net.Conn
	peers *silentPeers
	// sending holds a value while the peer writes, or while it is silent, which blocks writes.
	sending chan struct{}
}

// Write implements net.Conn.
func (p *silentPeer) Write(content []byte) (int, error) {
	p.sending <- struct{}{}
	defer func() { <-p.sending }()
	return p.Conn.Write(content)
}

// Fence implements callmux.Origin.
func (p *silentPeer) Fence(string) bool { return true }

// Handle implements callmux.Origin.
func (p *silentPeer) Handle(ctx context.Context, _ *callapi.Call) (*callapi.Answer, error) {
	number := int(p.peers.arrived.Add(1)) - 1
	arrives := p.peers.arrivals[min(number, len(p.peers.arrivals)-1)]
	switch arrives {
	case arrivesFull:
		return nil, result.Errorf(result.CallNotRunOverloaded, "no slot is free")
	case arrivesUnanswered:
		<-ctx.Done()
		return nil, result.Wrap(result.CallDeadline, ctx.Err(), "waiting for the instance")
	case arrivesSilent, arrivesSilentFull, arrivesSilentBroken:
		p.peers.working.Add(1)
		defer p.peers.working.Add(-1)
		p.sending <- struct{}{}
		defer func() { <-p.sending }()
		select {
		case <-time.After(silenceDuration):
		case <-ctx.Done():
			return nil, result.Errorf(result.CallCancelled, "the caller gave up")
		}
	}
	switch arrives {
	case arrivesSilentFull:
		return nil, result.Errorf(result.CallNotRunOverloaded, "no slot was free")
	case arrivesSilentBroken:
		return nil, result.Errorf(result.CallUnknownOutcome, "the instance broke off")
	}
	content := []byte("whole")
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: int64(len(content))}, Body: io.NopCloser(bytes.NewReader(content)),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

// quietTiming disables heartbeats for the duration of a test, so that only answers end a silence.
var quietTiming = callmux.Timing{HeartbeatInterval: time.Hour, SilenceTimeout: 2 * time.Hour, WriteTimeout: time.Minute}

// Guards against a 502 answer while an instance works on the request and answers within the deadline. The
// attempt was abandoned when the daemon beside the instance had sent nothing for 0.65 s, before it was
// known whether another attempt could replace it. No other attempt was answered, because the other daemons
// were silent too, other instances were full, or the retry budget was used up.
func TestSilentPeerIsGivenUpOnlyForAnAnswer(t *testing.T) {
	plenty := retry.Limits{Fraction: 1, Burst: 10}
	for name, row := range map[string]struct {
		arrivals []arrival
		retries  retry.Limits
		arrived  int64
		// minTime and maxTime bound the time that the call takes.
		minTime, maxTime time.Duration
	}{
		"all of them are silent":  {[]arrival{arrivesSilent}, plenty, 3, silenceDuration, silenceDuration + time.Millisecond},
		"the others are full":     {[]arrival{arrivesSilent, arrivesFull}, plenty, 3, silenceDuration, silenceDuration + time.Millisecond},
		"the budget is spent":     {[]arrival{arrivesSilent}, retry.Limits{Fraction: 0.1, Burst: 1}, 1, silenceDuration, silenceDuration + time.Millisecond},
		"another one has answers": {[]arrival{arrivesSilent, arrivesAnswered}, plenty, 2, 0, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &silentPeers{arrivals: row.arrivals}
				attempt := newAttempter(t, peers.client(t), true, row.retries)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				done, err := attempt.run(ctx)
				took := time.Since(attempt.startedAt)
				assert.NilError(t, err)
				body, err := readWhole(done.answer)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "whole")
				assert.Equal(t, peers.arrived.Load(), row.arrived)
				assert.Assert(t, took >= row.minTime && took <= row.maxTime, "%s", took)
				cancel()
				synctest.Wait()
				assert.Equal(t, peers.working.Load(), int64(0), "an instance still works on an abandoned call")
			})
		})
	}
}

// Guards against an answer 504 ahead of the deadline: the daemon beside the instance ended the call up to a
// millisecond early, since the protocol carries the remaining time in whole milliseconds.
func TestPeerEndsNoCallBeforeItsDeadline(t *testing.T) {
	for _, remaining := range []time.Duration{3 * time.Second, 3*time.Second - time.Microsecond, 100*time.Millisecond + time.Microsecond} {
		t.Run(remaining.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &silentPeers{arrivals: []arrival{arrivesUnanswered}}
				attempt := newAttempter(t, peers.client(t), false, retry.Limits{})
				ctx, cancel := context.WithTimeout(t.Context(), remaining)
				defer cancel()
				_, err := attempt.run(ctx)
				assert.Assert(t, result.Is(err, result.CallDeadline), "%v", err)
				assert.Equal(t, time.Since(attempt.startedAt), remaining)
			})
		})
	}
}

// Guards against a 502 answer to a request that no instance has run, because an attempt at a silent daemon
// counted as one that may have run after the daemon had refused it.
func TestRefusalOfASilentPeerCountsAsNotRun(t *testing.T) {
	plenty := retry.Limits{Fraction: 1, Burst: 10}
	const deadline = 5 * time.Second
	for name, row := range map[string]struct {
		arrivals []arrival
		retries  retry.Limits
		// cancelAfter is when the caller gives up.
		cancelAfter time.Duration
		outcome     string
	}{
		"it refuses in the end, others are full": {[]arrival{arrivesSilentFull, arrivesFull}, plenty, deadline, callapi.OutcomeNotRun},
		"all are silent and refuse in the end":   {[]arrival{arrivesSilentFull}, plenty, deadline, callapi.OutcomeNotRun},
		"the budget is spent":                    {[]arrival{arrivesSilentFull}, retry.Limits{Fraction: 0.1, Burst: 1}, deadline, callapi.OutcomeNotRun},
		"the last one is silent":                 {[]arrival{arrivesFull, arrivesFull, arrivesSilentFull}, plenty, deadline, callapi.OutcomeNotRun},
		"it may have run in the end":             {[]arrival{arrivesSilentBroken, arrivesFull}, plenty, deadline, callapi.OutcomeUnknown},
		"one of two may have run":                {[]arrival{arrivesSilentBroken, arrivesSilentFull}, plenty, deadline, callapi.OutcomeUnknown},
		"one of two may have run, the later one": {[]arrival{arrivesSilentFull, arrivesSilentBroken}, plenty, deadline, callapi.OutcomeUnknown},
		"the caller gives up before":             {[]arrival{arrivesSilentFull, arrivesFull}, plenty, time.Second, callapi.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := &silentPeers{arrivals: row.arrivals}
				attempt := newAttempter(t, peers.client(t), true, row.retries)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				time.AfterFunc(row.cancelAfter, cancel)
				_, err := attempt.run(ctx)
				cancel()
				synctest.Wait()
				assert.Equal(t, callapi.OutcomeOf(err), row.outcome, "%v", err)
				assert.Equal(t, result.Is(err, result.CallNotRunOverloaded), row.outcome == callapi.OutcomeNotRun, "%v", err)
			})
		})
	}
}
