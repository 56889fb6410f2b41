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

// A peer with a call in flight that sends nothing is marked as stalled and recovers with its next
// frame. A peer without calls is not pinged.
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
		bounds := Stall{CheckInterval: 100 * time.Millisecond, PingAfter: 250 * time.Millisecond, PingTimeout: 400 * time.Millisecond}
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
		assert.Assert(t, isDone(opened.stall()), "the stall channel is not closed")
		opened.noteReceived()
		time.Sleep(time.Millisecond)
		changed, stalled = check()
		assert.Assert(t, changed && !stalled)
	})
}

// During a planned stop of the caller's daemon, a call waits for a stalled peer instead of being
// retried, since the instance there may be working on it.
func TestCallStaysWithASilentPeerDuringAPlannedStop(t *testing.T) {
	for _, stays := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			opened := newSession(wire.NewConn(near, nil), 1, Timing{})
			called := newStream(1, opened)
			assert.NilError(t, opened.add(called))
			call := &callapi.Call{Open: &lapisv1.CallOpen{Repeatable: true}, KeepWaitingWhenSilent: func() bool { return stays }}
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

// Guards against false stalls after a pause of this process. If the time of the pause counts towards
// the ping timeout, peers whose answers arrived meanwhile are marked as stalled until the next check,
// and the calls in progress on their instances are abandoned.
func TestOwnPauseIsNotASilenceOfPeers(t *testing.T) {
	bounds := Stall{CheckInterval: 100 * time.Millisecond, PingAfter: 250 * time.Millisecond, PingTimeout: 400 * time.Millisecond}
	for name, row := range map[string]struct {
		// gapsMillis are the times between the checks after the ping. answeredMillis is the time from
		// the ping to its answer, or 0 if there is none.
		gapsMillis     []int
		answeredMillis int
		stalled        bool
	}{
		"the peer is silent":                        {gapsMillis: []int{100, 100, 100, 100, 100}, stalled: true},
		"checks come late by less than an interval": {gapsMillis: []int{150, 150, 150}, stalled: true},
		"this process was paused":                   {gapsMillis: []int{100, 900}},
		"this process was paused repeatedly":        {gapsMillis: []int{600, 600, 600}},
		"the peer is silent after the pause":        {gapsMillis: []int{900, 100, 100, 100, 100}, stalled: true},
		"the ping was answered before the pause":    {gapsMillis: []int{600, 100, 100}, answeredMillis: 50},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			opened := newSession(wire.NewConn(near, nil), 1, Timing{})
			defer func() { opened.close(net.ErrClosed); _ = far.Close() }()
			assert.NilError(t, opened.add(newStream(1, opened)))
			now := opened.openedAt.Add(bounds.PingAfter + bounds.CheckInterval)
			_, _ = opened.checkStall(bounds, now)
			if row.answeredMillis > 0 {
				at := now.Add(time.Duration(row.answeredMillis) * time.Millisecond)
				opened.receivedAfter.Store(int64(at.Sub(opened.openedAt)))
			}
			stalled := false
			for _, gap := range row.gapsMillis {
				elapsed := time.Duration(gap) * time.Millisecond
				now = now.Add(elapsed)
				opened.excusePause(ownPause(elapsed, bounds))
				_, stalled = opened.checkStall(bounds, now)
			}
			assert.Equal(t, stalled, row.stalled)
		})
	}
}
