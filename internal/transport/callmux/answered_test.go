package callmux

import (
	"bytes"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Guards against a 502 in place of an answer that had arrived: a call that ran late saw the answer and the
// end of its session at the same time, and took the end half of the time.
func TestAnswerAheadOfTheEndOfItsSessionIsUsed(t *testing.T) {
	for range 100 {
		opened := newStream(1, nil)
		opened.head <- &lapisv1.CallHead{Status: 200}
		opened.fail(result.Errorf(result.CallUnknownOutcome, "the connection to the peer daemon was lost"))
		head, err := awaitHead(t.Context(), opened, nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, head.GetStatus(), uint32(200))
	}
}

// endedPeer is a connection to a peer that has sent its last frames and ended: they can be read until this
// side closes the connection, and writes fail.
type endedPeer struct {
	net.Conn
	sent   *bytes.Reader
	closed bool
}

// Read implements net.Conn.
func (e *endedPeer) Read(buffer []byte) (int, error) {
	if e.closed {
		return 0, net.ErrClosed
	}
	return e.sent.Read(buffer)
}

// Write implements net.Conn.
func (*endedPeer) Write([]byte) (int, error) { return 0, net.ErrWriteToConnected }

// Close implements net.Conn.
func (e *endedPeer) Close() error {
	e.closed = true
	return nil
}

// SetReadDeadline implements net.Conn.
func (*endedPeer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (*endedPeer) SetWriteDeadline(time.Time) error { return nil }

// Guards against answers that are dropped unread: a peer ended its planned stop, and a heartbeat to it failed
// before this side had read its last answers.
func TestFailedWriteDropsNoAnswerThatArrived(t *testing.T) {
	answer, err := wire.Encode(
		&lapisv1.CallFrame{Call: 1, Body: &lapisv1.CallFrame_Head{Head: &lapisv1.CallHead{Status: 200}}},
		&lapisv1.CallFrame{Call: 1, Body: &lapisv1.CallFrame_Data{Data: &lapisv1.CallData{Data: []byte("whole"), End: true}}},
	)
	assert.NilError(t, err)
	peer := &endedPeer{sent: bytes.NewReader(answer)}
	ended := newSession(wire.NewConn(peer, nil), 1, Timing{})
	opened := newStream(ended.nextID(), ended)
	opened.receiveCredit = windowBytes
	assert.NilError(t, ended.add(opened))

	ended.notify(ended.heartbeat())
	assert.Assert(t, ended.add(newStream(2, ended)) != nil, "a call was opened that cannot be sent")
	_ = ended.receive(nil) // It returns at the end of what the peer has sent.
	head, err := awaitHead(t.Context(), opened, nil, nil)
	assert.NilError(t, err)
	assert.Equal(t, head.GetStatus(), uint32(200))
	body := make([]byte, 10)
	count, err := opened.Read(body)
	assert.NilError(t, err)
	assert.Equal(t, string(body[:count]), "whole")
	assert.Assert(t, ended.isClosed())
	assert.Assert(t, peer.closed)
}
