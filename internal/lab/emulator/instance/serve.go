package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

// Header fields by which a client asks an instance for something.
const (
	// HeaderAnswerBytes asks for an answer of that size.
	HeaderAnswerBytes = "Emulator-Answer-Bytes"
	// HeaderCall asks for a call of the given path, at the host of the request,
	// through the daemon beside the instance.
	HeaderCall = "Emulator-Call"
	// HeaderCrash makes the request a poison request; its value is the name.
	HeaderCrash = "Emulator-Crash"
)

// PathHealth is where an instance answers the question for its health.
const PathHealth = "/health"

const defaultAnswerBytes = 200

// resetPause is the time between a part of an answer and the reset of its connection.
const resetPause = 5 * time.Millisecond

// connectionFate is what becomes of a connection after a request.
type connectionFate int

const (
	connectionKept connectionFate = iota
	connectionClosed
	// connectionHangs stays open without another answer.
	connectionHangs
)

// accept takes connections until the instance ends.
func (i *Instance) accept() {
	for {
		conn, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mutex.Lock()
		i.conns[conn] = true
		i.mutex.Unlock()
		i.work.Go(func() {
			i.serveConnection(conn)
			_ = conn.Close()
			i.mutex.Lock()
			delete(i.conns, conn)
			i.mutex.Unlock()
		})
	}
}

// serveConnection serves the requests of one connection.
func (i *Instance) serveConnection(conn net.Conn) {
	reader := bufio.NewReader(conn)
	rested := time.Duration(0)
	for i.stopped.Err() == nil {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if forget := i.current().ForgetIdle; forget > 0 && rested > forget {
			reset(conn)
			return
		}
		if i.current().Silent {
			<-i.stopped.Done()
			return
		}
		verdict, rest := i.serve(conn, reader, request)
		if verdict == connectionClosed {
			return
		}
		rested = rest
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve answers one request, and returns how long the connection was idle then.
func (i *Instance) serve(conn net.Conn, reader *bufio.Reader, request *http.Request) (verdict connectionFate, rest time.Duration) {
	id := request.Header.Get(platform.HeaderRequestID)
	if request.URL.Path == PathHealth {
		return i.health(conn), 0
	}
	i.options.Ledger.Arrived(id)
	expected := request.Header.Get(platform.HeaderExpectedInstance)
	misdirected := expected != "" && expected != i.ID()
	if !misdirected {
		i.noteDelivered(id, request.Header.Get(HeaderCrash))
	}
	behaviour := i.current()
	if i.chance(behaviour.Early) && request.ContentLength > 0 {
		return i.refuse(conn, request, http.StatusServiceUnavailable, connectionClosed), 0
	}
	if misdirected {
		_, _ = io.Copy(io.Discard, request.Body)
		return i.refuse(conn, request, http.StatusMisdirectedRequest, connectionKept), 0
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return connectionClosed, 0
	}
	ctx, cancel, ended := i.watch(request, reader)
	defer cancel()
	verdict = i.handle(ctx, conn, request, id, body)
	switch verdict {
	case connectionClosed:
		_ = conn.Close()
	case connectionHangs:
		<-ended
		// Whatever comes further is read and not answered.
		_, _ = io.Copy(io.Discard, reader)
		return connectionClosed, 0
	}
	answered := time.Now()
	// The watch reads on until the next request begins or the connection ends.
	<-ended
	return verdict, time.Since(answered)
}

// handle works on a request and answers it.
func (i *Instance) handle(ctx context.Context, conn net.Conn, request *http.Request, id string, body []byte) connectionFate {
	entered, full := i.acquireSlot(ctx)
	if full && i.current().OnFull == OnFullHang {
		return connectionHangs
	}
	if !entered {
		return i.refuse(conn, request, http.StatusServiceUnavailable, connectionClosed)
	}
	defer i.releaseSlot()
	behaviour := i.current()
	stamp := i.run(request, id, body)
	status := http.StatusOK
	if name := request.Header.Get(HeaderCrash); name != "" {
		i.options.Ledger.RunFailed(stamp)
		i.crashUnder(name)
		return connectionClosed
	}
	if !i.perform(ctx, request, behaviour) || i.chance(behaviour.Fail) {
		status = http.StatusInternalServerError
	}
	if i.chance(behaviour.LoseAnswer) {
		i.options.Ledger.RunFailed(stamp)
		return connectionClosed
	}
	return i.answer(conn, request, behaviour, status, stamp)
}

// crashUnder crashes the instance, a service time after it began to work on a poison request.
func (i *Instance) crashUnder(name string) {
	if !sleep.For(i.stopped, i.options.ServiceTime) {
		return
	}
	i.options.Ledger.CrashedUnder(name, i.Name(), time.Now())
	// In the background: the instance's end waits for this request.
	i.crashOnce.Do(func() { go i.options.PoisonCrashed(i) })
	<-i.stopped.Done()
}

// watch returns a context that ends with the request's deadline or with its
// connection; ended is closed once nothing reads the connection any more.
func (i *Instance) watch(request *http.Request, reader *bufio.Reader) (context.Context, context.CancelFunc, <-chan struct{}) {
	ctx, cancel := context.WithCancel(i.stopped)
	if millis, err := strconv.Atoi(request.Header.Get(platform.HeaderDeadline)); err == nil {
		ctx, cancel = context.WithTimeout(i.stopped, time.Duration(millis)*time.Millisecond)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	return ctx, cancel, ended
}

// acquireSlot waits for a slot; it gets none when the queue is full or ctx ends.
func (i *Instance) acquireSlot(ctx context.Context) (entered, full bool) {
	if room := i.current().Capacity; room > 0 && i.running.Load()+i.waiting.Load() >= int64(room) {
		return false, true
	}
	select {
	case i.slots <- struct{}{}:
		i.running.Add(1)
		return true, false
	default:
	}
	if i.waiting.Add(1) > int64(i.options.Queue) {
		i.waiting.Add(-1)
		return false, true
	}
	defer i.waiting.Add(-1)
	select {
	case i.slots <- struct{}{}:
		i.running.Add(1)
		return true, false
	case <-ctx.Done():
		return false, false
	}
}

func (i *Instance) releaseSlot() {
	i.running.Add(-1)
	<-i.slots
}

// run records that work on a request begins, and returns its stamp.
func (i *Instance) run(request *http.Request, id string, body []byte) string {
	stamp := fmt.Sprintf("%s.%s.%d", i.Name(), id, i.sequence.Add(1))
	millis, _ := strconv.Atoi(request.Header.Get(platform.HeaderDeadline))
	i.options.Ledger.Ran(promise.Run{
		Timeout: time.Duration(millis) * time.Millisecond, Request: id, Instance: i.Name(), Service: i.options.Service, BodyDigest: promise.DigestOf(body),
		Caller: request.Header.Get(platform.HeaderCallerService), Stamp: stamp, At: time.Now(),
		Account: request.Header.Get(platform.HeaderAccount), Header: request.Header,
	})
	return stamp
}

// perform spends the time of work and makes the calls that the request asks for.
func (i *Instance) perform(ctx context.Context, request *http.Request, behaviour Behaviour) bool {
	factor := max(behaviour.Slowdown, 1)
	if i.cold.remaining(time.Now()) > 0 {
		factor *= coldSlowdown
	}
	i.mutex.Lock()
	spread := 0.5 + i.random.Float64()
	i.mutex.Unlock()
	if !sleep.For(ctx, time.Duration(float64(i.options.ServiceTime)*factor*spread)) {
		return false
	}
	if path := request.Header.Get(HeaderCall); path != "" {
		return i.call(ctx, request, path)
	}
	return true
}

func (i *Instance) call(ctx context.Context, parent *http.Request, path string) bool {
	id := parent.Header.Get(platform.HeaderRequestID) + ".1." + strconv.FormatUint(i.sequence.Add(1), 10)
	i.options.Ledger.Sent(promise.Request{
		ID: id, Safe: true, Caller: i.options.Service, SentAt: time.Now(),
		Services: map[string]bool{parent.Header.Get(HeaderCall + "-Service"): true},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.options.Outbound+path, nil)
	if err != nil {
		return false
	}
	request.Host = parent.Host
	request.Header.Set(platform.HeaderRequestID, id)
	if poison := parent.Header.Get(HeaderCall + "-Crash"); poison != "" {
		request.Header.Set(HeaderCrash, poison)
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	response, err := i.calls.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

func (i *Instance) health(conn net.Conn) connectionFate {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", platform.HeaderInstance, i.ID(),
		platform.HeaderColdRemaining, i.cold.remaining(time.Now()).Milliseconds())
	if _, err := io.WriteString(conn, head); err != nil {
		return connectionClosed
	}
	return connectionKept
}

// refuse answers that the request did not run.
func (i *Instance) refuse(conn net.Conn, request *http.Request, status int, then connectionFate) connectionFate {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n", status, http.StatusText(status),
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderInstance, i.ID())
	if status != http.StatusMisdirectedRequest {
		head += platform.HeaderNotExecuted + ": 1\r\n"
	}
	if then == connectionClosed {
		head += "Connection: close\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\n")
	if err != nil {
		return connectionClosed
	}
	return then
}

// answer sends the answer, or what the behaviour makes of it.
func (i *Instance) answer(conn net.Conn, request *http.Request, behaviour Behaviour, status int, stamp string) connectionFate {
	size := defaultAnswerBytes
	if wanted, err := strconv.Atoi(request.Header.Get(HeaderAnswerBytes)); err == nil {
		size = wanted
	}
	body := Body(stamp, size)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s: %d,%d,%d\r\n", status, http.StatusText(status),
		platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID), platform.HeaderStamp, stamp,
		platform.HeaderLoad, i.running.Load(), i.waiting.Load(), i.options.Slots)
	framed := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	switch {
	case i.chance(behaviour.Garbage):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, "this is no answer\r\n\r\n")
		return connectionClosed
	case i.chance(behaviour.Cut):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, framed[:len(framed)-len(body)/2])
		return connectionClosed
	case i.chance(behaviour.UnframedCut):
		i.options.Ledger.RunFailed(stamp)
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+body[:len(body)/2])
		// What was sent arrives before the reset.
		time.Sleep(resetPause)
		reset(conn)
		return connectionClosed
	case i.chance(behaviour.Unframed):
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+body)
		return connectionClosed
	}
	if _, err := io.WriteString(conn, framed); err != nil {
		return connectionClosed
	}
	if i.chance(behaviour.Extra) {
		time.Sleep(behaviour.ExtraAfter)
		_, _ = io.WriteString(conn, framed)
	}
	return connectionKept
}

// Body returns the body of the answer with a stamp; a client can make it again.
func Body(stamp string, size int) string {
	body := make([]byte, size)
	for index := range body {
		body[index] = stamp[index%len(stamp)]
	}
	return string(body)
}
