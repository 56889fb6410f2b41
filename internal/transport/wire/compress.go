package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// CompressAboveBytes is the frame size from which compression is tried. Chosen, not measured: small
// frames do not shrink.
const CompressAboveBytes = 512

// Compress returns frame, or an equivalent compressed frame when that is
// smaller. A frame that cannot be encoded is returned as it is, since sending it reports the error.
func Compress(frame *lapisv1.ControlFrame) *lapisv1.ControlFrame {
	encoded, err := proto.Marshal(frame)
	if err != nil || len(encoded) < CompressAboveBytes {
		return frame
	}
	deflated, err := Deflate(encoded)
	if err != nil || len(deflated) >= len(encoded) {
		return frame
	}
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Compressed{Compressed: deflated}}
}

// Decompress returns the frame inside a compressed frame, or frame itself. The
// result is bounded by MaxFrameBytes and is never itself compressed.
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
		return nil, result.Errorf(result.ProtocolBadFrame, "a compressed frame holds another")
	}
	return inner, nil
}
