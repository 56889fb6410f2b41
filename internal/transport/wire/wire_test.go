package wire_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// receiveFrom calls read with a Conn that receives the given bytes, followed by the end of the
// connection.
func receiveFrom(t testing.TB, content []byte, read func(*wire.Conn) error) error {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		_, _ = far.Write(content)
		_ = far.Close()
	}()
	conn := wire.NewConn(near, nil)
	defer func() { _ = conn.Close() }()
	return read(conn)
}

func TestMalformedBytes(t *testing.T) {
	huge := binary.AppendUvarint(nil, wire.MaxFrameBytes+1)
	cases := []struct {
		name    string
		content []byte
		expect  result.Code
	}{
		{"oversized length", huge, result.ProtocolTooLarge},
		{"largest length", binary.AppendUvarint(nil, 1<<63), result.ProtocolTooLarge},
		{"truncated frame", []byte{10, 1, 2}, result.ProtocolBadFrame},
		{"random bytes", []byte{5, 0xff, 0xff, 0xff, 0xff, 0xff}, result.ProtocolBadFrame},
		{"length without end", bytes.Repeat([]byte{0xff}, 12), result.ProtocolBadFrame},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := receiveFrom(t, test.content, func(conn *wire.Conn) error { return conn.Receive(&lapisv1.ControlFrame{}) })
			assert.Assert(t, result.Is(err, test.expect), "%v", err)
		})
	}
	err := receiveFrom(t, nil, func(conn *wire.Conn) error { return conn.Receive(&lapisv1.ControlFrame{}) })
	assert.Assert(t, errors.Is(err, io.EOF))
	err = receiveFrom(t, []byte("GET / HTTP/1.1\r\n"), (*wire.Conn).ReadPreface)
	assert.Assert(t, result.Is(err, result.ProtocolBadVersion), "%v", err)
}

func TestCompressionKeepsFramesAndIsBounded(t *testing.T) {
	frame := &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Update{Update: &lapisv1.Update{
		Bundles: []*lapisv1.EncodedBundle{{Service: "a", Content: bytes.Repeat([]byte("lapis"), 1000)}},
	}}}
	compressed := wire.Compress(frame)
	assert.Assert(t, proto.Size(compressed) < proto.Size(frame)/5)
	restored, err := wire.Decompress(compressed)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(restored, frame))

	bomb := wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Compressed{Compressed: make([]byte, wire.MaxFrameBytes+1)}})
	_, err = wire.Decompress(bomb)
	assert.Assert(t, result.Is(err, result.ProtocolTooLarge), "%v", err)
	nested := wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Compressed{Compressed: make([]byte, 4096)}})
	_, err = wire.Decompress(nested)
	assert.Assert(t, result.Is(err, result.ProtocolBadFrame), "%v", err)
}

func FuzzReceive(f *testing.F) {
	valid, _ := proto.Marshal(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: &lapisv1.Hello{Node: "n"}}})
	f.Add(append(binary.AppendUvarint(nil, uint64(len(valid))), valid...))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		_ = receiveFrom(t, content, func(conn *wire.Conn) error {
			frame := &lapisv1.ControlFrame{}
			if err := conn.Receive(frame); err != nil {
				return err
			}
			_, err := wire.Decompress(frame)
			return err
		})
	})
}

func FuzzCallFrame(f *testing.F) {
	valid, _ := proto.Marshal(&lapisv1.CallFrame{Call: 1, Body: &lapisv1.CallFrame_Open{Open: &lapisv1.CallOpen{Service: "s"}}})
	f.Add(append(binary.AppendUvarint(nil, uint64(len(valid))), valid...))
	f.Fuzz(func(t *testing.T, content []byte) {
		_ = receiveFrom(t, content, func(conn *wire.Conn) error { return conn.Receive(&lapisv1.CallFrame{}) })
	})
}

// Frames sent with SendEncoded are received like frames sent with Send.
func TestEncodedFramesAreReadLikeOthers(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	sender, receiver := wire.NewConn(near, nil), wire.NewConn(far, nil)
	frames := []proto.Message{&lapisv1.CallFrame{Call: 7}, &lapisv1.CallFrame{}, &lapisv1.CallFrame{Call: 1 << 40, Ping: true}}
	encoded, err := wire.Encode(frames...)
	assert.NilError(t, err)
	sent := make(chan error, 1)
	go func() { sent <- sender.SendEncoded(encoded) }()
	for _, frame := range frames {
		received := &lapisv1.CallFrame{}
		assert.NilError(t, receiver.Receive(received))
		assert.Assert(t, proto.Equal(received, frame), "%v", received)
	}
	assert.NilError(t, <-sent)
	assert.NilError(t, sender.Close())
	assert.Assert(t, sender.SendEncoded(encoded) != nil)
}
