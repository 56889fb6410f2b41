package callmux

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// A peer that holds a call and sends nothing stalls; its next sign of life ends
// that. One without calls is not pinged.
func TestStallIsNoticedAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		opened := newSession(wire.NewConn(near, nil), 1, Timing{})
		defer opened.close(net.ErrClosed)
		pings := make(chan struct{}, 8)
		go func() {
			buffer := make([]byte, 64)
			for {
				if _, err := far.Read(buffer); err != nil {
					return
				}
				pings <- struct{}{}
			}
		}()
		bounds := Stall{Check: 100 * time.Millisecond, Quiet: 250 * time.Millisecond, Answer: 400 * time.Millisecond}
		check := func() (changed, stalled bool) { return opened.checkStall(bounds, time.Now()) }

		time.Sleep(time.Second)
		changed, _ := check()
		assert.Assert(t, !changed)
		assert.Equal(t, len(pings), 0)

		assert.NilError(t, opened.add(newStream(1, opened)))
		_, _ = check()
		synctest.Wait()
		assert.Equal(t, len(pings), 1)
		time.Sleep(300 * time.Millisecond)
		changed, _ = check()
		assert.Assert(t, !changed)
		time.Sleep(200 * time.Millisecond)
		changed, stalled := check()
		assert.Assert(t, changed && stalled)
		assert.Assert(t, isDone(opened.stall()), "calls are not notified")
		opened.noteReceived()
		time.Sleep(time.Millisecond)
		changed, stalled = check()
		assert.Assert(t, changed && !stalled)
	})
}

// While the caller's daemon stops as planned, a call stays with a silent peer: the
// instance there may be working on it.
func TestCallStaysWithASilentPeerDuringAPlannedStop(t *testing.T) {
	for _, stays := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			opened := newSession(wire.NewConn(near, nil), 1, Timing{})
			called := newStream(1, opened)
			assert.NilError(t, opened.add(called))
			call := &callapi.Call{Open: &lapisv1.CallOpen{Repeatable: true}, StaysWithSilent: func() bool { return stays }}
			time.AfterFunc(time.Second, func() { opened.setStalled(true) })
			time.AfterFunc(2*time.Second, func() { called.head <- &lapisv1.CallHead{Status: 200} })
			head, err := (&Client{}).exchange(t.Context(), t.Context(), called, call)
			assert.Equal(t, err == nil && head.GetStatus() == 200, stays, "%v", err)
			time.Sleep(2 * time.Second)
			opened.close(net.ErrClosed)
			_ = far.Close()
		})
	}
}

// The failure: after this process had been kept from running, it took a daemon for silent whose answer
// had arrived meanwhile, and gave up the calls that the instances there worked on. The evidence: peers
// that stalled and answered again within one check, all right after a pause of the process itself. The
// cause: the time in which this process did not run was counted against its peers.
func TestOwnPauseIsNotASilenceOfPeers(t *testing.T) {
	bounds := Stall{Check: 100 * time.Millisecond, Quiet: 250 * time.Millisecond, Answer: 400 * time.Millisecond}
	for name, row := range map[string]struct {
		// gaps are the milliseconds between the checks after the ping, answered is when its answer
		// came, 0 for never.
		gaps     []int
		answered int
		stalled  bool
	}{
		"the peer is silent":                              {gaps: []int{100, 100, 100, 100, 100}, stalled: true},
		"checks come late by less than an interval":       {gaps: []int{150, 150, 150}, stalled: true},
		"this process stood still":                        {gaps: []int{100, 900}},
		"this process stood still time after time":        {gaps: []int{600, 600, 600}},
		"it stood still, and the peer is silent after":    {gaps: []int{900, 100, 100, 100, 100}, stalled: true},
		"it was answered before this process stood still": {gaps: []int{600, 100, 100}, answered: 50},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			opened := newSession(wire.NewConn(near, nil), 1, Timing{})
			defer func() { opened.close(net.ErrClosed); _ = far.Close() }()
			assert.NilError(t, opened.add(newStream(1, opened)))
			now := opened.openedAt.Add(bounds.Quiet + bounds.Check)
			_, _ = opened.checkStall(bounds, now)
			if row.answered > 0 {
				at := now.Add(time.Duration(row.answered) * time.Millisecond)
				opened.receivedAfter.Store(int64(at.Sub(opened.openedAt)))
			}
			stalled := false
			for _, gap := range row.gaps {
				elapsed := time.Duration(gap) * time.Millisecond
				now = now.Add(elapsed)
				opened.excusePause(ownPause(elapsed, bounds))
				_, stalled = opened.checkStall(bounds, now)
			}
			assert.Equal(t, stalled, row.stalled)
		})
	}
}
