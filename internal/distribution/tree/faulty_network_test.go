package tree_test

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// faultyNetwork is a TCP network that can pause and can corrupt received data.
type faultyNetwork struct {
	wire.TCP
	paused      *atomic.Bool
	corruptNext atomic.Int32
}

// dialPlatform opens a connection to the platform that pauses together with this network.
func (f *faultyNetwork) dialPlatform(ctx context.Context, _, address string) (net.Conn, error) {
	return (&faultyNetwork{paused: f.paused}).Dial(ctx, address)
}

func (f *faultyNetwork) pause(on bool) { f.paused.Store(on) }

var errPaused = errors.New("paused")

func (f *faultyNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if f.paused.Load() {
		return nil, errPaused
	}
	conn, err := f.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, network: f}, nil
}

// faultyConn applies the faults of its network.
type faultyConn struct {
	net.Conn
	network *faultyNetwork
}

func (f *faultyConn) Read(buffer []byte) (int, error) {
	count, err := f.Conn.Read(buffer)
	for f.network.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if count > 8 && f.network.corruptNext.Add(-1) >= 0 {
		buffer[count/2] ^= 0x55
	}
	return count, err
}

func (f *faultyConn) Write(data []byte) (int, error) {
	for f.network.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return f.Conn.Write(data)
}
