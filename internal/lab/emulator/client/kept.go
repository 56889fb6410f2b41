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
	// redialPause is the time after which a caller without a connection dials again. It is well
	// below the time that a daemon needs to start.
	redialPause = 20 * time.Millisecond
	// answerPatience is how long a caller waits for an answer beyond the request's deadline.
	answerPatience = time.Second
)

// Kept are callers that keep their connections until the daemon ends them. They send nothing
// again, so that a request without an answer shows.
type Kept struct {
	// Classes are the kinds of the requests; each is drawn with the same chance.
	Classes []Class
	// Connections is their number for each target.
	Connections int
	// Ahead is the most requests on a connection that are not answered; 1 sends one after the other.
	Ahead int
	// BytesPerSecond bounds how fast answers arrive, as over a narrow link: the caller's system
	// takes no more than narrowBuffer ahead of it. 0 for no bound.
	BytesPerSecond float64
	// Pause is the mean time between two requests of a connection, as far as Ahead allows them.
	Pause time.Duration
}

// keep uses one connection after the other until ctx ends.
func (l *Load) keep(ctx context.Context, kept Kept, target Target, random *rand.Rand) {
	for ctx.Err() == nil {
		conn, err := kept.dial(ctx, target.Address())
		if err != nil {
			sleep.For(ctx, redialPause)
			continue
		}
		using := &keptConn{load: l, kept: kept, target: target, conn: conn, room: make(chan struct{}, kept.Ahead), sent: make(chan *aheadRequest, kept.Ahead)}
		using.use(ctx, random)
	}
}

// narrowBuffer is what a caller's system takes ahead of a caller on a narrow link, in bytes. A few
// packets; the system doubles it.
const narrowBuffer = 4 << 10

// dial opens a connection to a daemon.
func (k Kept) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: time.Second}
	if k.BytesPerSecond > 0 {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(descriptor uintptr) {
				failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, narrowBuffer)
			})
			if err != nil {
				return err
			}
			return failed
		}
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// keptConn is one connection of such a caller.
type keptConn struct {
	load   *Load
	kept   Kept
	target Target
	conn   net.Conn
	// room holds an entry for each request that is not answered, and sent those requests in
	// their order.
	room chan struct{}
	sent chan *aheadRequest
}

// aheadRequest is a request on its way. sentAt is when its last byte was sent, in nanoseconds
// since 1970; 0 before.
type aheadRequest struct {
	class   Class
	id      string
	request *http.Request
	started time.Time
	sentAt  atomic.Int64
}

// use sends requests until ctx ends or the daemon ends the connection, and reads their answers.
func (k *keptConn) use(ctx context.Context, random *rand.Rand) {
	defer func() { _ = k.conn.Close() }()
	sending, stop := context.WithCancel(ctx)
	defer stop()
	var receiving sync.WaitGroup
	receiving.Go(func() { k.receive(stop) })
	for k.sendNext(sending, random) {
	}
	close(k.sent)
	receiving.Wait()
}

// sendNext sends one request. It reports whether another may follow.
func (k *keptConn) sendNext(ctx context.Context, random *rand.Rand) bool {
	if !sleep.For(ctx, time.Duration(random.ExpFloat64()*float64(k.kept.Pause))) {
		return false
	}
	select {
	case k.room <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	next := k.prepare(k.kept.Classes[random.IntN(len(k.kept.Classes))])
	k.sent <- next
	// A failed write shows when the answer is read.
	if next.request.Write(k.conn) == nil {
		next.sentAt.Store(time.Now().UnixNano())
	}
	return true
}

func (k *keptConn) prepare(class Class) *aheadRequest {
	body := make([]byte, class.BodyBytes)
	wait := class.Deadline.Milliseconds()
	address := k.conn.RemoteAddr().String()
	next := &aheadRequest{class: class, started: time.Now(), id: k.load.announce(class, k.target, address, body, wait)}
	// The class names a valid path.
	next.request, _ = newRequest(context.Background(), class, "http://"+address, next.id, body, wait)
	return next
}

// receive reads the answers in their order, until one of them or the daemon ends the connection;
// it then stops the sending. What was sent behind that stays without an answer.
func (k *keptConn) receive(stop func()) {
	reader := bufio.NewReader(paced{reader: k.conn, bytesPerSecond: k.kept.BytesPerSecond})
	ended := ""
	for next := range k.sent {
		if ended != "" {
			k.noteUnanswered(next, ended)
			continue
		}
		// A connection that takes no deadline is closed, and the read returns by itself.
		_ = k.conn.SetReadDeadline(next.started.Add(next.class.Deadline + answerPatience))
		ended = k.receiveOne(reader, next)
		<-k.room
		if ended != "" {
			stop()
			k.awaitEnd(reader)
		}
	}
}

// awaitEnd waits until the daemon has closed its side, behind its last answer.
func (k *keptConn) awaitEnd(reader *bufio.Reader) {
	_ = k.conn.SetReadDeadline(time.Now().Add(answerPatience))
	_, _ = io.Copy(io.Discard, reader)
	_ = k.conn.Close()
}

// receiveOne reads one answer. It returns how the connection ended with it, empty where it goes on.
func (k *keptConn) receiveOne(reader *bufio.Reader, next *aheadRequest) (ended string) {
	response, err := http.ReadResponse(reader, next.request)
	if err != nil {
		if isTimeout(err) {
			// The caller gives up.
			k.load.Tally.add(Failed, time.Since(next.started))
			return "the caller gave up"
		}
		k.noteUnanswered(next, err.Error())
		return err.Error()
	}
	body := &watchedBody{ReadCloser: response.Body}
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

// watchedBody remembers the error with which an answer ended before its end.
type watchedBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (w *watchedBody) Read(buffer []byte) (int, error) {
	count, err := w.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF {
		w.err = err
	}
	return count, err
}

func (k *keptConn) noteUnanswered(request *aheadRequest, how string) {
	k.load.Tally.add(Failed, time.Since(request.started))
	sentAt := request.sentAt.Load()
	if sentAt == 0 {
		// Its last byte was never sent.
		return
	}
	k.load.Ledger.Unanswered(promise.Unanswered{Request: request.id, SentAt: time.Unix(0, sentAt), EndedAt: time.Now(), Cause: how})
}

// paced reads no faster than a bound, 0 for none.
type paced struct {
	reader         io.Reader
	bytesPerSecond float64
}

// Read implements io.Reader.
func (p paced) Read(buffer []byte) (int, error) {
	count, err := p.reader.Read(buffer)
	if p.bytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(count) / p.bytesPerSecond * float64(time.Second)))
	}
	return count, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
