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

// answerPiece is a part of an answer's body that is read but not yet written to the caller.
type answerPiece struct {
	buffer []byte
	// filled is the number of bytes in buffer. isLast is true if the body ends behind them.
	filled int
	isLast bool
}

// read reads the next part of body, which is empty only if the body ends. Errors: those of the call.
func (p *answerPiece) read(body io.Reader) error {
	p.filled = 0
	for p.filled == 0 && !p.isLast {
		count, err := body.Read(p.buffer)
		if err != nil && err != io.EOF {
			return err
		}
		p.filled, p.isLast = count, err == io.EOF
	}
	return nil
}

// readFirstPiece waits for the first part of an answer's body, once all earlier answers are written. The caller
// has received nothing until then, so that an answer that breaks off can still be replaced by that of another
// instance, or by an error answer instead of the close of the connection. Errors: CallCancelled and those of
// the call.
func readFirstPiece(ctx context.Context, exchange *pipeline.Exchange, answer *callapi.Answer) (*answerPiece, error) {
	if err := exchange.AwaitEarlierAnswers(ctx); err != nil {
		return nil, result.Wrap(result.CallCancelled, err, "waiting for earlier answers")
	}
	piece := &answerPiece{buffer: make([]byte, answerChunkBytes)}
	return piece, piece.read(answer.Body)
}

// streamAnswer copies an answer to the caller piece by piece, from its first piece on. If the answer breaks off,
// the caller's connection is closed without a proper end of the answer, which shows that it is incomplete.
// Errors: CallCancelled, CallTruncated and those of the call.
func streamAnswer(ctx context.Context, exchange *pipeline.Exchange, answer *callapi.Answer, first *answerPiece) error {
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
	stream.err = copyAnswer(stream, answer.Body, first)
	if stream.err == nil && length < 0 {
		for _, field := range answer.Trailers() {
			_ = rc.Response.Header.Trailer().Set(field.GetName(), field.GetValue())
		}
	}
	return stream.err
}

// copyAnswer copies the body of an answer to writer, beginning with piece, and flushes each piece. Errors:
// CallCancelled if writing fails, and those of the call.
func copyAnswer(writer network.ExtWriter, body io.Reader, piece *answerPiece) error {
	for {
		if piece.filled > 0 {
			if _, err := writer.Write(piece.buffer[:piece.filled]); err != nil {
				return result.Wrap(result.CallCancelled, err, "writing to the caller")
			}
			// The library may refer to the buffer until it is flushed.
			if err := writer.Flush(); err != nil {
				return result.Wrap(result.CallCancelled, err, "writing to the caller")
			}
		}
		if piece.isLast {
			return nil
		}
		if err := piece.read(body); err != nil {
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
