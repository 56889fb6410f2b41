package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/result"
)

// CompressAboveBytes is the frame size from which compression is tried.
const CompressAboveBytes = 512

var compressors = sync.Pool{New: func() any {
	writer, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return writer
}}

// Compress returns frame, or an equivalent compressed frame when that is
// smaller.
func Compress(frame *lapisv1.ControlFrame) *lapisv1.ControlFrame {
	encoded, err := proto.Marshal(frame)
	if err != nil || len(encoded) < CompressAboveBytes {
		return frame
	}
	var buffer bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&buffer)
	if _, err := compressor.Write(encoded); err != nil {
		return frame
	}
	if err := compressor.Close(); err != nil || buffer.Len() >= len(encoded) {
		return frame
	}
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Compressed{Compressed: buffer.Bytes()}}
}

// Decompress returns the frame inside a compressed frame, or frame itself. The
// result is bounded by MaxFrameBytes and is never itself compressed.
// Errors: ProtocolTooLarge, ProtocolBadFrame.
func Decompress(frame *lapisv1.ControlFrame) (*lapisv1.ControlFrame, error) {
	compressed, ok := frame.GetBody().(*lapisv1.ControlFrame_Compressed)
	if !ok {
		return frame, nil
	}
	reader := flate.NewReader(bytes.NewReader(compressed.Compressed))
	encoded, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil {
		return nil, result.Wrap(result.ProtocolBadFrame, err, "decompressing a frame")
	}
	if len(encoded) > MaxFrameBytes {
		return nil, result.Errorf(result.ProtocolTooLarge, "a compressed frame holds more than %d bytes", MaxFrameBytes)
	}
	inner := &lapisv1.ControlFrame{}
	if err := proto.Unmarshal(encoded, inner); err != nil {
		return nil, result.Wrap(result.ProtocolBadFrame, err, "decoding a compressed frame")
	}
	if _, nested := inner.GetBody().(*lapisv1.ControlFrame_Compressed); nested {
		return nil, result.Errorf(result.ProtocolBadFrame, "a compressed frame holds another")
	}
	return inner, nil
}
