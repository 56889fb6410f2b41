package wire

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// compressors holds flate writers, whose tables are costly to make.
var compressors = sync.Pool{New: func() any {
	// It fails on an unknown level only.
	writer, _ := flate.NewWriter(io.Discard, flate.DefaultCompression)
	return writer
}}

// Deflate returns content compressed. It is safe for concurrent use.
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

// Inflate reverses Deflate, for up to MaxFrameBytes of content. Errors:
// ProtocolTooLarge, ProtocolBadFrame.
func Inflate(deflated []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(deflated))
	content, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil {
		return nil, result.Wrap(result.ProtocolBadFrame, err, "decompressing a frame")
	}
	if len(content) > MaxFrameBytes {
		return nil, result.Errorf(result.ProtocolTooLarge, "a compressed frame holds more than %d bytes", MaxFrameBytes)
	}
	return content, nil
}
