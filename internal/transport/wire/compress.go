package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// MinCompressBytes is the minimum frame size for compression. Smaller frames do not shrink.
const MinCompressBytes = 512

// Compress returns an equivalent compressed frame if that is smaller, otherwise frame. A frame that
// cannot be encoded is returned unchanged; sending it reports the error.
func Compress(frame *lapisv1.ControlFrame) *lapisv1.ControlFrame {
	encoded, err := proto.Marshal(frame)
	if err != nil || len(encoded) < MinCompressBytes {
		return frame
	}
	deflated, err := Deflate(encoded)
	if err != nil || len(deflated) >= len(encoded) {
		return frame
	}
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Compressed{Compressed: deflated}}
}

// Decompress returns the content of a compressed frame, or frame itself if it is not compressed. The
// content must be at most MaxFrameBytes large and not itself compressed.
// Errors: ProtocolTooLarge, ProtocolBadFrame.
func Decompress(frame *lapisv1.ControlFrame) (*lapisv1.ControlFrame, error) {
	compressed, ok := frame.GetBody().(*lapisv1.ControlFrame_Compressed)
	if !ok {
		return frame, nil
	}
	encoded, err := Inflate(compressed.Compressed)
	if err != nil {
		return nil, err
	}
	inner := &lapisv1.ControlFrame{}
	if err := proto.Unmarshal(encoded, inner); err != nil {
		return nil, result.Wrap(result.ProtocolBadFrame, err, "decoding a compressed frame")
	}
	if _, nested := inner.GetBody().(*lapisv1.ControlFrame_Compressed); nested {
		return nil, result.Errorf(result.ProtocolBadFrame, "nested compressed frame")
	}
	return inner, nil
}

// compressors pools flate writers, whose tables are expensive to allocate.
var compressors = sync.Pool{New: func() any {
	// This fails only for an unknown compression level.
	writer, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return writer
}}

// Deflate compresses content. It is safe for concurrent use.
func Deflate(content []byte) ([]byte, error) {
	var buffer bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&buffer)
	if _, err := compressor.Write(content); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Inflate decompresses the output of Deflate, up to MaxFrameBytes of content. Errors:
// ProtocolTooLarge, ProtocolBadFrame.
func Inflate(deflated []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	content, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil {
		return nil, result.Wrap(result.ProtocolBadFrame, err, "decompressing a frame")
	}
	if len(content) > MaxFrameBytes {
		return nil, result.Errorf(result.ProtocolTooLarge, "a compressed frame decompresses to more than %d bytes", MaxFrameBytes)
	}
	return content, nil
}
