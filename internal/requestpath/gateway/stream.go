package gateway

import (
	"context"
	"io"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// answerChunkBytes is the size in bytes of the pieces in which a streamed answer is copied.
const answerChunkBytes = 16 << 10

// streamAnswer copies an answer to the caller piece by piece. If the answer breaks off, the caller's
// connection is closed without a proper end of the answer, which shows that it is incomplete. Errors:
// CallCancelled, CallTruncated and those of the call.
func streamAnswer(ctx context.Context, exchange *pipeline.Exchange, answer *callapi.Answer) error {
	if err := exchange.BeginAnswer(ctx); err != nil {
		return err
	}
	rc := exchange.Request
	writer := rc.GetWriter()
	length := answer.Head.GetContentLength()
	for _, field := range answer.Head.GetHeaders() {
		if length < 0 && strings.EqualFold(field.GetName(), "Trailer") {
			// Set fails for a name that is not allowed as a trailer, which is skipped here and below.
			_ = rc.Response.Header.Trailer().Set(field.GetValue(), "")
		}
	}
	var body network.ExtWriter
	if length >= 0 {
		body = &fixedLengthWriter{rc: rc, writer: writer, remaining: length}
	} else {
		body = resp.NewChunkedBodyWriter(&rc.Response, writer)
	}
	stream := &streamWriter{ExtWriter: body}
	rc.Response.HijackWriter(stream)
	stream.err = copyAnswer(stream, answer)
	if stream.err == nil && length < 0 {
		for _, field := range answer.Trailers() {
			_ = rc.Response.Header.Trailer().Set(field.GetName(), field.GetValue())
		}
	}
	return stream.err
}

// copyAnswer copies the body of an answer to writer, and flushes each piece. Errors: CallCancelled if writing
// fails, and those of the call.
func copyAnswer(writer network.ExtWriter, answer *callapi.Answer) error {
	buffer := make([]byte, answerChunkBytes)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return result.Wrap(result.CallCancelled, writeErr, "writing to the caller")
			}
			// The library may refer to buffer until it is flushed.
			if flushErr := writer.Flush(); flushErr != nil {
				return result.Wrap(result.CallCancelled, flushErr, "writing to the caller")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamWriter writes the end of an answer (the last chunk or a flush) only if the answer is complete.
type streamWriter struct {
	network.ExtWriter
	err error
}

// Finalize is called after the handler has returned; an error closes the connection.
func (s *streamWriter) Finalize() error {
	if s.err != nil {
		return s.err
	}
	return s.ExtWriter.Finalize()
}

// fixedLengthWriter writes an answer of known length.
type fixedLengthWriter struct {
	rc        *app.RequestContext
	writer    network.Writer
	remaining int64
	started   bool
}

// start writes the head of the answer before the first piece of the body.
func (f *fixedLengthWriter) start() error {
	if f.started {
		return nil
	}
	f.started = true
	f.rc.Response.Header.SetContentLength(int(f.remaining))
	return resp.WriteHeader(&f.rc.Response.Header, f.writer)
}

func (f *fixedLengthWriter) Write(piece []byte) (int, error) {
	if err := f.start(); err != nil {
		return 0, err
	}
	if int64(len(piece)) > f.remaining {
		return 0, errors.New("the answer is longer than its stated length")
	}
	f.remaining -= int64(len(piece))
	return f.writer.WriteBinary(piece)
}

func (f *fixedLengthWriter) Flush() error { return f.writer.Flush() }

func (f *fixedLengthWriter) Finalize() error {
	if err := f.start(); err != nil {
		return err
	}
	if f.remaining > 0 {
		return result.Errorf(result.CallTruncated, "the answer is %d bytes shorter than its stated length", f.remaining)
	}
	return f.writer.Flush()
}
