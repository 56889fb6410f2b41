package client

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

const (
	// redialDelay is the time after which a caller without a connection dials again. It is well below
	// the start time of a daemon.
	redialDelay = 20 * time.Millisecond
	// answerTimeoutSlack is the time that a caller waits for an answer beyond the request's deadline, and
	// within an answer for its next bytes.
	answerTimeoutSlack = time.Second
)

// PersistentCallers describes callers that keep their connections open until the daemon closes them.
// They do not retry, so that a request without an answer is detected.
type PersistentCallers struct {
	// Classes are the classes of the requests, each drawn with the same probability.
	Classes []Class
	// Connections is the number of connections to each target.
	Connections int
	// PipelineDepth is the maximum number of unanswered requests on a connection; 1 disables
	// pipelining.
	PipelineDepth int
	// BytesPerSecond limits the rate at which answers are read, to emulate a slow link. The receive
	// buffer is then limited to slowLinkBufferBytes. 0 disables the limit.
	BytesPerSecond float64
	// MeanInterval is the mean time between two requests on a connection. It is longer while
	// PipelineDepth requests are unanswered.
	MeanInterval time.Duration
}

// runPersistentCaller sends requests on one connection, and on a new one whenever the daemon has closed
// the last, until ctx ends.
func (l *Load) runPersistentCaller(ctx context.Context, kept PersistentCallers, target Target, random *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := kept.dial(ctx, target.Address())
		if err != nil {
			sleep.For(ctx, redialDelay)
			continue
		}
		persistent := &persistentConn{load: l, kept: kept, target: target, conn: conn, inFlight: make(chan struct{}, kept.PipelineDepth), pending: make(chan *pipelinedRequest, kept.PipelineDepth)}
		persistent.run(ctx, random)
	}
}

// slowLinkBufferBytes is the receive buffer of a caller on a slow link, in bytes. It holds a few
// packets; the kernel doubles the value.
const slowLinkBufferBytes = 4 << 10

// dial opens a connection to a daemon, with a small receive buffer if the link is slow.
func (k PersistentCallers) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	if k.BytesPerSecond > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowLinkBufferBytes)
			})
			if err != nil {
				return err
			}
			return optionErr
		}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// persistentConn is one persistent connection of a caller.
type persistentConn struct {
	load   *Load
	kept   PersistentCallers
	target Target
	conn   net.Conn
	// inFlight holds an entry for each unanswered request and limits their number. pending holds the
	// requests in the order of sending.
	inFlight chan struct{}
	pending  chan *pipelinedRequest
}

// pipelinedRequest is an unanswered request. sentAt is the Unix time in nanoseconds at which its last
// byte was sent; 0 before that.
type pipelinedRequest struct {
	class   Class
	id      string
	request *http.Request
	started time.Time
	sentAt  atomic.Int64
}

// run sends requests and reads their answers until ctx ends or the daemon closes the connection.
func (k *persistentConn) run(ctx context.Context, random *rand.Rand) {
	defer func() { _ = k.conn.Close() }()
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var receiving sync.WaitGroup
	receiving.Go(func() { k.receive(stop) })
	for k.sendNext(sending, random) {
	}
	close(k.pending)
	receiving.Wait()
}

// sendNext sends one request. It reports false once ctx has ended.
func (k *persistentConn) sendNext(ctx context.Context, random *rand.Rand) bool {
	if !sleep.For(ctx, time.Duration(random.ExpFloat64()*float64(k.kept.MeanInterval))) {
		return false
	}
	select {
	case k.inFlight <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	next := k.prepare(k.kept.Classes[random.IntN(len(k.kept.Classes))])
	k.pending <- next
	// A failed write is detected when the answer is read.
	if next.request.Write(k.conn) == nil {
		next.sentAt.Store(time.Now().UnixNano())
	}
	return true
}

func (k *persistentConn) prepare(class Class) *pipelinedRequest {
	body := make([]byte, class.BodyBytes)
	timeoutMillis := class.Deadline.Milliseconds()
	address := k.conn.RemoteAddr().String()
	next := &pipelinedRequest{class: class, started: time.Now(), id: k.load.record(class, k.target, address, body, timeoutMillis)}
	// The error is ignored, since the path of a class is valid.
	next.request, _ = newRequest(context.Background(), class, "http://"+address, next.id, body, timeoutMillis)
	return next
}

// receive reads the answers in order until an answer or the daemon closes the connection, then calls
// stop to end the sending. Requests that were sent after that remain unanswered.
func (k *persistentConn) receive(stop func()) {
	patient := &patientReader{conn: k.conn}
	reader := bufio.NewReader(throttledReader{reader: patient, bytesPerSecond: k.kept.BytesPerSecond})
	closeReason := ""
	for next := range k.pending {
		if closeReason != "" {
			k.recordUnanswered(next, closeReason)
			continue
		}
		patient.awaitAnswer(next.started.Add(next.class.Deadline + answerTimeoutSlack))
		closeReason = k.receiveOne(reader, next)
		<-k.inFlight
		if closeReason != "" {
			stop()
			k.awaitClose()
		}
	}
}

// awaitClose waits until the daemon has closed its side of the connection after its last answer.
func (k *persistentConn) awaitClose() {
	_ = k.conn.SetReadDeadline(time.Now().Add(answerTimeoutSlack))
	_, _ = io.Copy(io.Discard, throttledReader{reader: k.conn, bytesPerSecond: k.kept.BytesPerSecond})
	_ = k.conn.Close()
}

// receiveOne reads one answer. It returns the reason why the connection ends with it, empty if the
// connection stays open.
func (k *persistentConn) receiveOne(reader *bufio.Reader, next *pipelinedRequest) (closeReason string) {
	response, err := http.ReadResponse(reader, next.request)
	if err != nil {
		if isTimeout(err) {
			// The caller gives up the request.
			k.load.Tally.add(Failed, time.Since(next.started))
			return "the caller gave up"
		}
		k.recordUnanswered(next, err.Error())
		return err.Error()
	}
	body := &errorRecorder{ReadCloser: response.Body}
	response.Body = body
	outcome, _, _ := k.load.evaluate(next.class, next.id, response)
	_ = response.Body.Close()
	k.load.Tally.add(outcome, time.Since(next.started))
	switch {
	case isTimeout(body.err):
		return "the caller gave up within an answer"
	case body.err != nil:
		return body.err.Error()
	case response.Close:
		return fmt.Sprintf("closed by the answer %d to a %s", response.StatusCode, next.class.Name)
	}
	return ""
}

// errorRecorder records the error that truncated an answer's body.
type errorRecorder struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (e *errorRecorder) Read(buffer []byte) (int, error) {
	count, err := e.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF {
		e.err = err
	}
	return count, err
}

func (k *persistentConn) recordUnanswered(request *pipelinedRequest, cause string) {
	k.load.Tally.add(Failed, time.Since(request.started))
	sentAt := request.sentAt.Load()
	if sentAt == 0 {
		// The last byte of the request was never sent, so that the daemon cannot have read it.
		return
	}
	k.load.Ledger.Unanswered(promise.Unanswered{Request: request.id, SentAt: time.Unix(0, sentAt), EndedAt: time.Now(), Cause: cause})
}

// patientReader reads a connection up to a deadline, and beyond it while an answer goes on arriving: a caller
// that closed the connection within it would itself end the requests behind that answer.
type patientReader struct {
	conn     net.Conn
	deadline time.Time
}

// awaitAnswer sets the deadline for the next answer, at least answerTimeoutSlack from now: the answer before
// it may have taken until after the deadline.
func (p *patientReader) awaitAnswer(deadline time.Time) {
	p.deadline = deadline
	p.extend()
}

// extend moves the deadline to at least answerTimeoutSlack from now.
func (p *patientReader) extend() {
	if soonest := time.Now().Add(answerTimeoutSlack); soonest.After(p.deadline) {
		p.deadline = soonest
	}
}

// Read implements io.Reader.
func (p *patientReader) Read(buffer []byte) (int, error) {
	// This fails only on a closed connection, on which the read returns at once.
	_ = p.conn.SetReadDeadline(p.deadline)
	count, err := p.conn.Read(buffer)
	if count > 0 {
		p.extend()
	}
	return count, err
}

// throttledReader limits the rate of a reader; a rate of 0 means no limit.
type throttledReader struct {
	reader         io.Reader
	bytesPerSecond float64
}

// Read implements io.Reader.
func (t throttledReader) Read(buffer []byte) (int, error) {
	count, err := t.reader.Read(buffer)
	if t.bytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(count) / t.bytesPerSecond * float64(time.Second)))
	}
	return count, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
